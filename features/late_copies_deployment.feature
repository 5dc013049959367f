Feature: A deployment whose upstreams stutter mixes no answers up

  Scenario Outline: An answer of an upstream that stutters reaches another caller, or in part
    Given a deployment of 3 VMs whose upstreams stutter with seed <seed>
    When requests of both kinds arrive at all VMs for <seconds> seconds
    Then each answer from an upstream is that of its request and whole
    And no order ran twice, and none that was called not run ran
    And no key was ever held by two upstreams
    And most requests were answered

    Examples:
      | seed | seconds |
      | 1    | 3       |
      | 2    | 3       |
