Feature: Dispatch to the upstream, retries and the choice of an upstream

  Scenario: A more urgent request is not held up by less urgent ones that wait
    Given a queue of 1 slot whose lookups and orders run for 0.2 seconds
    When a lookup runs and lookup 2 and order 3 wait
    Then order 3 runs next

  Scenario: A burst of lookups beyond capacity does not make the answers late
    Given a queue of 10 slots whose lookups run for 0.3 seconds
    When 60 lookups a second with a target of 0.6 s arrive for 8 s
    Then at least 95 percent of the answers are in time
    And the slots are busy at least 90 percent of the time
    And a rejection takes less than 0.1 seconds for at least 80 percent

  Scenario: A request that cannot meet its deadline is rejected on arrival
    Given a queue of 1 slot whose lookups run for 2.0 seconds
    When a lookup runs and lookup 2 with 1.0 seconds left arrives
    Then lookup 2 is rejected as overloaded

  Scenario: An idle upstream is sent a request although the last ones took long
    Given a queue of 2 slots whose lookups run for 5.0 seconds
    When lookup 1 with 1.0 seconds left arrives
    Then lookup 1 runs

  Scenario: Slow requests of one route do not raise the estimate of another
    Given a queue of 1 slot whose probes run for 3.0 seconds
    When a lookup runs and lookup 2 with 1.0 seconds left arrives
    Then lookup 2 waits

  Scenario: A request for a key of another upstream is redirected
    Given a queue whose upstream owns no key
    When lookup 1 for key 5 arrives
    Then lookup 1 is redirected

  Scenario: The rate limit of a cold start holds in any second
    Given a queue of 50 slots with a cold upstream limited to 15 requests a second
    When 200 lookups a second with a target of 0.6 s arrive for 4 s
    Then no second has more than 15 starts

  Scenario: The retries of all processes together stay within the budget
    Then 9 processes of ratio 0.2 and slack 58 stay in budget

  Scenario: Processes that start again repeat their share of the fixed retries
    Then 9 processes of ratio 0.2 and slack 58 that start again each 3 seconds stay in budget

  Scenario: A request that was running at three crashes of upstreams is rejected
    Given a request that was running at three crashes, at the last as the only suspect
    Then the crash suspect is rejected
    But a request that was answered after the first crash is not
    And one that ran beside other suspects at all three crashes runs in its turn

  Scenario: A crash that a process is told of more than once counts once
    Given a request that was running at two crashes, which three processes report
    Then the request runs in its turn

  Scenario: A blocked request that keeps coming is forgotten after a minute
    Given a request that was running at three crashes, at the last as the only suspect
    When it comes every 30 seconds for 40 minutes
    Then it is rejected each time
    And it may run again 10 minutes after it came last

  Scenario: A process that starts does not know the suspects of its peers
    Given a request that was running at three crashes, at the last as the only suspect
    When another process is sent the records
    Then that process rejects the request

  Scenario: A peer that was not told of a clearance sends the crashes again
    Given a process that answered a suspect, and a peer that still knows the crash
    When the peer sends its records, before and after it is told of the clearance
    Then the request is clear at both
    And with its next crash it is a suspect at both and takes 4 answers
    And with a crash a minute later it takes one answer

  Scenario: More clearances than a process keeps, and some that are outdated
    Given 5000 requests that were each cleared of 20 crashes
    Then the process keeps 4096 clearances of 8 crashes
    And after 61 seconds it keeps no clearance

  Scenario: A reset of connections is taken for a crash of the upstream
    Given runs that an upstream lost, and an answer to a request that it was sent later
    When the upstream ends
    Then only the runs that were lost after that are charged

  Scenario: More crash suspects than a process keeps, and some that are outdated
    Given 5000 requests that ran when upstreams crashed, the last of them at three
    Then the process keeps 4096 of them and rejects the last
    And after 61 seconds it keeps only the one that it rejects
    And after 601 seconds it rejects none of them and keeps none

  Scenario: Claims of crash suspects without a crash are kept for ever
    Given 300 claims of crash suspects by another process
    Then after 3 seconds no claim is kept

  Scenario Outline: Retry decision after an attempt
    Given <a> request with a limit of 2 attempts
    When an attempt ends as <outcome>
    Then the request is <next>

    Examples:
      | a                 | outcome               | next                |
      | an idempotent     | lost after sending    | retried             |
      | a non-idempotent  | lost after sending    | ended as undecided  |
      | a non-idempotent  | rejected by upstream  | retried             |
      | a non-idempotent  | rejected by a process | retried             |
      | an idempotent     | a server error        | retried             |
      | a non-idempotent  | a server error        | ended as answered   |
      | an idempotent     | timed out             | ended as undecided  |

  Scenario: A request that may have run is never reported as not run
    Given an idempotent request with a limit of 2 attempts
    When an attempt ends as lost after sending
    And the next attempt ends as rejected by a process
    Then the outcome for the caller is unknown

  Scenario: The weights of a route hold over the requests of all processes
    Then 9 processes with 34 requests each are within 0.02 of 90 to 10

  Scenario: An answer is not carried between zones if a nearby upstream is fast enough
    Given lookups of 0.2 seconds with a target of 0.6 seconds and long answers
    Then a nearby upstream of slowdown 1.0 goes before a remote one of slowdown 0.6
    But a nearby upstream of slowdown 4.0 goes after a remote one of slowdown 0.6
    And a nearby upstream that fails its requests goes after a remote one
    And a nearby upstream whose rate limit delays requests by 0.5 s goes after a remote one

  Scenario: Processes with the same stale loads do not all choose one upstream
    Given 29 upstreams in 3 zones of which one was free when loads were reported
    When 60 processes choose for 5 requests each by these loads
    Then no upstream is chosen more than 4 times as often as the mean
    And each upstream is chosen

  Scenario: A request is not retried at the overloaded owner of its key
    Given an upstream whose slots and queue are full
    When a lookup for a key arrives that would miss its deadline
    Then it is rejected and not retried by its process
    But a lookup without a key is retried at another upstream

  Scenario: An upstream that has just joined is sent one request by each process
    Given lookups of 0.2 seconds with a target of 0.6 seconds and long answers
    Then an untried remote upstream of slowdown 3.0 goes before a nearby one
    But a tried remote upstream of slowdown 3.0 goes after a nearby one
