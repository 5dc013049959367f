Feature: An upstream that states a rate limit gets no more than that

  Scenario Outline: A stated rate limit is decoded
    Given an upstream whose answers have the headers <headers>
    When a request is answered by it
    Then its notice has the limit <limit> and leaving is <leaving>

    Examples:
      | headers                                  | limit   | leaving |
      | none                                     | none    | no      |
      | server-limit: 14.7                       | 14.7    | no      |
      | server-limit: 0                          | 0.0     | no      |
      | server-limit: 8; server-leaving: 1       | 8.0     | yes     |
      | server-leaving: 0                        | none    | no      |
      | server-limit: -3                         | unknown | no      |
      | server-limit: inf                        | unknown | no      |
      | server-limit: nan                        | unknown | no      |
      | server-limit: 5 a second                 | unknown | no      |
      | server-limit: 1e999                      | unknown | no      |

  Scenario: Changes of the stated limit are logged with the rate that was sent
    Given a guard whose upstream states limits
    When its answers state 9.5, 9.5, "many" and no limit
    Then the limit is logged as 9.5 and then as none, with the rate sent
    And the unreadable limit is logged once and changed nothing

  Scenario: Under a rate limit, the queue rejects at once what can't be sent in time
    Given a queue of 12 slots whose upstream states a limit of 8 requests a second
    When 30 lookups a second with a target of 0.6 s arrive for 10 s
    Then no 4 seconds have more than 34 starts
    And at least 75 requests were started
    And a rejection takes less than 0.1 seconds for at least 95 percent
    And at least 95 percent of the answers are in time

  Scenario: Under a rate limit, a rejected caller is told when a request can be sent
    Given a queue of 12 slots whose upstream states a limit of 2 requests a second
    When 7 lookups arrive together with 9.0 seconds left and a target of 0.6 s
    Then the last one is rejected with a retry time between 2.0 and 2.5 seconds

  Scenario: Under a rate limit, an order is sent before lookups that arrived earlier
    Given a queue of 12 slots whose upstream states a limit of 4 requests a second
    When 3 lookups and an order arrive together
    Then the order is the next to be sent

  Scenario Outline: A rate limiter follows what the answers state
    Given a limiter to which answers state <statements>
    Then it permits <permitted> requests in the next 4 seconds

    Examples:
      | statements                                     | permitted |
      | nothing yet                                    | 2 to 2    |
      | no limit                                       | 400 to 400 |
      | 10                                             | 39 to 42  |
      | 10, then 3                                     | 11 to 14  |
      | 3, then 10                                     | 39 to 42  |
      | 10, then no limit to a request sent before     | 39 to 42  |
      | 10, then no limit to a request sent afterwards | 400 to 400 |
      | 0                                              | 1 to 4    |
      | 10, then a new incarnation                     | 2 to 2    |

  Scenario: An upstream gets more requests than the rate limit that it states
    Given a deployment of 2 VMs
    When an upstream states a limit of 6 requests a second while 60 a second arrive
    Then from 3 seconds after that, it gets at most one and a half times that, and 5, in 4 seconds

  Scenario: An upstream whose process restarts gets more requests than the limit that it states
    Given a deployment of 2 VMs whose heartbeats carry the grants
    When its process restarts while an upstream states a limit of 2 requests a second
    Then from 3 seconds after that, it gets at most one and a half times that, and 5, in 4 seconds
