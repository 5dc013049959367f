Feature: Each slot of the upstream is given back, whatever becomes of the caller

  Scenario: A caller that leaves in the turn in which an answer frees a slot
    Given a guard all of whose slots are in use, and a request that waits
    When an answer arrives and the caller that waits leaves in the same turn
    Then the guard runs one request less than it has slots
    And the request that was never sent does not count as sent
    And a later request is sent at once

  Scenario: Answers and departures of a pause are handled in one turn
    Given a guard all of whose slots are in use, and 20 requests that wait
    When all answers arrive and all callers leave in the same turn
    Then the guard runs no request
    And a later request is sent at once

  Scenario: Callers that leave in the same turn use up the two requests before the first answer
    Given a guard whose upstream has restarted, with 2 requests sent and 3 that wait
    When both are answered by a lost connection and the callers that wait leave in the same turn
    Then the guard runs no request
    And a later request is sent at once

  Scenario: The tokens and the cold limit count a request that was never sent
    Given a queue with a stated limit and a cold upstream that starts a request
    When the request is withdrawn before it is sent
    Then the limits permit as many requests as before

  Scenario: The task of a started request is cancelled before its first step
    Given a queue that starts a request
    When its task is cancelled in the turn in which it is made
    Then the queue counts no request as running
    And the limits permit as many requests as before

  Scenario: A slot that no task holds stays in use without a sign
    Given a queue that starts a request
    When no task is made for it and the slots are checked
    Then the slot is given back
    And "slots_leaked" is logged as an error with the id of the request
    And the metrics page counts one leaked slot

  Scenario: A check reports slots of requests that run
    Given a queue that starts a request
    When its task runs and the slots are checked
    Then no leak is reported and the queue counts one request as running

  Scenario: A peer withdraws a request in the same turn and it stays counted
    When a peer sends 5 requests and withdraws each in the same turn
    Then no peer's request is counted as being served

  Scenario: Callers leave, answers arrive and the upstream restarts in any order of turns
    Then the queue counts as running exactly the requests that have a task
