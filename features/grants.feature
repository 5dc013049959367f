Feature: Grants carried by the heartbeats of an upstream

  Scenario: Random losses, delays and restarts never leave released keys at the upstream
    Then the grants of heartbeats hold under the budget of random faults

  Scenario: Keys are used once the answer that states them can have arrived
    Given an upstream that is to hold the keys 0 to 99
    When its heartbeat is answered
    Then it is told to hold the keys 0 to 99
    And key 5 is not usable at once but 0.05 seconds later

  Scenario: Keys are not used beyond the earliest end of their hold
    Given an upstream that holds the keys 0 to 99
    Then key 5 is usable for 3.7 seconds and not for 3.9

  Scenario: A statement whose answer was lost is not counted on
    Given an upstream that is to hold the keys 0 to 99
    When its heartbeat is answered
    And its next heartbeat still reports no keys
    Then key 5 is not usable at once but 0.05 seconds later

  Scenario: An answer that states less for a shorter time does not end earlier grants
    Given an upstream that is to hold the keys 0 to 99
    When its heartbeat is answered
    And its next heartbeat is answered with a hold of 1 second
    And the release of the keys 0 to 9 begins and the upstream is silent
    Then the release ends after 5.11 seconds, not after 5.05

  Scenario: A restarted process waits out the grants that its predecessor made by call
    Given a process that has just started, whose upstream answers no release
    When the release of its keys begins
    Then it ends after the longest hold of 0.4 seconds and not before

  Scenario: A released range is handed over with the tokens that the upstream reported
    Given an upstream that holds the keys 0 to 99
    When the release of the keys 10 to 29 begins
    Then key 15 is usable until the next answer, which leaves the keys 10 to 29 out
    When the upstream reports that it still works on the keys 10 to 29
    Then the release has not ended
    When the upstream reports the keys 10 to 19 released with "h1" and 20 to 29 with "h2"
    Then the release ended with "h1" for 10 to 19 and "h2" for 20 to 29

  Scenario: A token that the upstream refuses is noticed after three heartbeats
    Given an upstream that is to hold the keys 0 to 99
    When its heartbeat is answered
    And 2 heartbeats still report no keys
    Then no token counts as refused
    When 1 heartbeats still report no keys
    Then a token counts as refused

  Scenario: Without a lease, and without a table, an answer states nothing
    Given an upstream that holds the keys 0 to 99
    Then an answer without a lease leaves its grants as they are
    And an answer of a process that knows no table leaves its grants as they are

  Scenario: An upstream that owns nothing is told to hold nothing
    Given an upstream that holds the keys 0 to 99
    When another upstream owns its keys
    Then it is told to hold no keys

  Scenario: An answer stays within the size that an upstream accepts
    Given an upstream that is to hold 300 ranges
    When its heartbeat is answered
    Then the encoded answer has at most 4096 bytes
    And ranges that it holds are stated before others

  Scenario Outline: Malformed rows are rejected and nothing changes
    Given a heartbeat whose rows are <rows>
    Then it is rejected as unreadable

    Examples:
      | rows        |
      | text        |
      | reversed    |
      | overlapping |
      | out of range |
      | fractional  |
      | negative    |
      | too many    |
      | too short   |
