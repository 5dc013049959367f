Feature: Requests keep their promises under any mix of faults

  Scenario: No order runs twice and every outcome is true
    When guards and an entry go through random faults
    Then every caller was told the truth and most work was answered

  Scenario: A request that crashes upstreams is refused after two crashes
    Then one request that crashes upstreams crashes two, and only it is blamed

  Scenario: An operator lets a refused request run again
    Given a guard that was told of two crashes with order A in flight
    When order A arrives from caller 1
    Then caller 1 gets outcome not run with code crash-suspect
    When the operator releases order A
    And order A arrives from caller 2
    Then the guard dispatched 1 request
    And the guard told its peers that order A is cleared of 2 crashes

  Scenario: A late copy of an old notice does not blame a cleared request
    Given a guard that was told of two crashes with order A in flight
    When the operator releases order A
    And the guard is told of the same two crashes again
    And order A arrives from caller 1
    Then the guard dispatched 1 request
