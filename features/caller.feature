Feature: The caller library

  Scenario: Routes
    Then the caller goes straight to the owner of a key
    And the caller learns the owner from a request that was passed on
    And the caller takes a newer table and never an older one
    And the caller enters by its seeds without a table

  Scenario: Outcomes
    Then the caller sends again only what did not run
    And the caller tells a broken connection as unknown
    And the caller never takes a response without an outcome for an answer
    And the caller gives up in time and says what it knows

  Scenario: What a request carries
    Then the caller keeps one id and a shrinking deadline over all attempts
    And the caller drops a ticket that is stale
    And the caller sends a call again under its old id and ticket
    And the caller keeps the ticket that comes with an unknown outcome

  Scenario: Overload
    Then the caller keeps its retries under overload to a share
