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

  Scenario: An upstream gets more requests than the rate limit that it states
    Given a deployment of 2 VMs
    When an upstream states a limit of 6 requests a second while 60 a second arrive
    Then from 3 seconds after that, it gets at most one and a half times that, and 5, in 4 seconds

  Scenario: An upstream whose process restarts gets more requests than the limit that it states
    Given a deployment of 2 VMs whose heartbeats carry the grants
    When its process restarts while an upstream states a limit of 2 requests a second
    Then from 3 seconds after that, it gets at most one and a half times that, and 5, in 4 seconds
