Feature: A rejection of an order that is sent again holds for its earlier attempts too

  Scenario Outline: An order that may have run is run by the next process as if it were new
    Given an entry whose table names two processes
    When an order that may have run is rejected by the first as <code>
    Then it is sent to the second as an order that may have run, without a new ticket

    Examples:
      | code      |
      | moving    |
      | not-owner |

  Scenario Outline: The caller of an order that may have run is told that it has not run
    Given an entry whose table names two processes
    When an order that may have run is rejected by the first as <code>
    Then the outcome for its caller is unknown

    Examples:
      | code                 |
      | no-owner             |
      | too-many-connections |
      | request-id-conflict  |

  Scenario: An order that the upstream rejects at its owner has not run
    Given an entry whose table names two processes
    When an order that may have run is rejected by the first as upstream-shed
    Then the outcome for its caller is not run

  Scenario: An excluded process rejects an order that may have run as not run
    Given a guard whose upstream operators have excluded
    When an order that may have run reaches it
    Then its reply is unknown

  Scenario Outline: The caller library reports a call that may have run as not run
    Given <entries> for the caller library
    When a call that may have run is sent again
    Then its reply is unknown, with the id and the ticket to send it again

    Examples:
      | entries                             |
      | an entry that nothing listens at    |
      | an entry that rejects as draining   |

  Scenario: The caller library reports a rejection by the upstream as not run
    Given an entry that rejects as upstream-shed for the caller library
    When a call that may have run is sent again
    Then its reply is not run
