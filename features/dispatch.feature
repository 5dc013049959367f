Feature: What runs at the upstream, in which order, and what is turned away

  Scenario: A more urgent request passes the ones that wait
    Given a queue of 1 slot whose lookups and orders run for 0.2 seconds
    When a lookup runs and lookup 2 and order 3 wait
    Then order 3 runs next

  Scenario: Overload of a lookup burst is answered in time, not late
    Given a queue of 10 slots whose lookups run for 0.3 seconds
    When 60 lookups a second of target 0.6 s come for 8 s
    Then at least 95 percent of the answers are in time
    And the slots are busy at least 90 percent of the time
    And a refusal takes less than 0.1 seconds for at least 80 percent

  Scenario: What can't be answered at all is turned away at once
    Given a queue of 1 slot whose lookups run for 2.0 seconds
    When a lookup runs and lookup 2 with 1.0 seconds left arrives
    Then lookup 2 is turned away as overloaded

  Scenario: An idle upstream is tried though the last requests took long
    Given a queue of 2 slots whose lookups run for 5.0 seconds
    When lookup 1 with 1.0 seconds left arrives
    Then lookup 1 runs

  Scenario: Slow requests of one route say nothing of another route
    Given a queue of 1 slot whose probes run for 3.0 seconds
    When a lookup runs and lookup 2 with 1.0 seconds left arrives
    Then lookup 2 waits

  Scenario: A key that another upstream owns is sent on
    Given a queue whose upstream owns no key
    When lookup 1 for key 5 arrives
    Then lookup 1 is sent elsewhere

  Scenario: Any second of a cold start stays within the limit
    Given a queue of 50 slots with a cold upstream that bears 15 a second
    When 200 lookups a second of target 0.6 s come for 4 s
    Then no second sees more than 15 starts

  Scenario: The sum of all retries stays within the budget
    Then 9 processes of ratio 0.2 and slack 58 stay in budget

  Scenario: A request that crashed two upstreams is turned away
    Given a request that ran when two upstreams crashed
    Then it is turned away
    But a request that ran once and then succeeded is not

  Scenario Outline: What follows an attempt
    Given <a> request that may reach 2 upstreams
    When an attempt ends as <ending>
    Then it is <next>

    Examples:
      | a                 | ending                | next                          |
      | an idempotent     | lost after sending    | attempted again               |
      | a non-idempotent  | lost after sending    | ended as undecided            |
      | a non-idempotent  | rejected by upstream  | attempted again               |
      | a non-idempotent  | refused by a process  | attempted again               |
      | an idempotent     | a server error        | attempted again               |
      | a non-idempotent  | a server error        | ended as answered             |
      | an idempotent     | out of time           | ended as undecided            |

  Scenario: A request that may have run is never said not to have run
    Given an idempotent request that may reach 2 upstreams
    When an attempt ends as lost after sending
    And the next attempt ends as refused by a process
    Then its caller is told that it is undecided

  Scenario: Shares of a route's parts are right over all processes
    Then 9 processes with 34 requests each are within 0.02 of 90 to 10

  Scenario: An upstream nearby that is fast enough is taken
    Given lookups of 0.2 seconds with a target of 0.6 seconds and long answers
    Then a nearby upstream of pace 1.0 goes before a remote one of pace 0.6
    But a nearby upstream of pace 4.0 goes after a remote one of pace 0.6
    And a nearby upstream that fails its requests goes after a remote one

  Scenario: Processes that know the same old loads don't all choose one upstream
    Given 29 upstreams in 3 zones of which one was free when loads were told
    When 60 processes choose for 5 requests each by these loads
    Then no upstream is chosen more than 4 times as often as the mean
    And each upstream is chosen

  Scenario: The owner of a key that is overloaded is asked once
    Given an upstream whose slots and queue are full
    When a lookup for a key comes that can't be in time
    Then it is turned away, and its process asks nobody again
    But a lookup without a key is offered to another upstream

  Scenario: An upstream that has just joined is sent one request by each process
    Given lookups of 0.2 seconds with a target of 0.6 seconds and long answers
    Then a new remote upstream of pace 3.0 goes before a nearby one
    But a remote upstream of pace 3.0 that was tried goes after a nearby one
