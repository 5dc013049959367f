Feature: An entry's answer is true of all attempts of a request

  Scenario Outline: A lookup whose first attempt may have run is answered as not run
    Given an entry that reaches two upstreams
    When the first attempt of a <keyed> lookup ends as <first> and the next as <next>
    Then the caller is answered 502, without a time to retry, after 2 attempts
    And the outcome is logged and counted as undecided

    Examples:
      | keyed   | first              | next                    |
      | plain   | lost on its link   | rejected by a process   |
      | plain   | lost on its link   | rejected by an upstream |
      | plain   | lost on its link   | unreachable             |
      | plain   | cut by an upstream | rejected by a process   |
      | plain   | cut by an upstream | a crash suspect         |
      | plain   | a server error     | rejected by a process   |
      | keyed   | lost on its link   | rejected by a process   |
      | keyed   | cut by an upstream | rejected as it ends     |

  Scenario: A lookup whose attempt may have run finds no other upstream
    Given an entry that reaches one upstream
    When the only attempt of a plain lookup ends as lost on its link
    Then the caller is answered 502, without a time to retry, after 1 attempt

  Scenario: A lookup whose attempts were all rejected is answered as not run
    Given an entry that reaches two upstreams
    When both attempts of a plain lookup end as rejected by a process
    Then the caller is answered 503 after 2 attempts

  Scenario Outline: An answer contradicts one of the attempts of a request
    Given an entry that reaches <count> upstreams
    When a <request> meets every sequence of outcomes of its attempts
    Then no answer of the entry's own promises that a request has not run that may have
    And each order is sent no more once it may have run

    Examples:
      | count | request      |
      | one   | plain lookup |
      | one   | plain order  |
      | four  | plain lookup |
      | four  | plain order  |
      | four  | keyed lookup |
      | four  | keyed order  |
