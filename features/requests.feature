Feature: Non-idempotent requests run at most once under random faults

  Scenario: No order runs twice and no outcome contradicts what ran
    When three guards and an entry run through random faults
    Then every outcome was correct, and answers outnumbered unknown outcomes

  Scenario: A request that crashes upstreams is rejected after two crashes
    Then in ten fleets one request crashes two upstreams, and only it is blocked

  Scenario: A crash suspect runs again after an operator releases it
    Given a guard that received notices of two crashes with order A in flight
    When order A arrives from caller 1
    Then caller 1 gets outcome not run with code crash-suspect
    When an operator releases order A
    And order A arrives from caller 2
    Then the guard dispatched 1 request
    And the guard broadcasts that order A is cleared of 2 crashes

  Scenario: A repeated crash notice does not block a cleared request
    Given a guard that received notices of two crashes with order A in flight
    When an operator releases order A
    And the guard receives the same two notices again
    And order A arrives from caller 1
    Then the guard dispatched 1 request
