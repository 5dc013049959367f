Feature: The upstream that runs at the address is the one in use, whatever start it states

  Scenario Outline: An upstream that states an earlier start is acknowledged and never used
    Given a deployment of 3 <VMs>
    When the upstream of vm-b restarts under <id>, and its clock has jumped back by half a second
    Then it is the current upstream of vm-b within 2 seconds
    And until then none of its heartbeats was acknowledged
    And all keys are served again within 3 seconds
    And no key was ever held by two upstreams

    Examples:
      | VMs                                   | id          |
      | VMs                                   | another id  |
      | VMs                                   | the same id |
      | VMs whose heartbeats carry the grants | another id  |

  Scenario Outline: A late heartbeat of a former start that stated a later time makes it current again
    Given a deployment of 1 VMs
    When the upstream of vm-a restarts under <id>, and its clock has jumped back by half a second
    Then it is the current upstream of vm-a within 2 seconds
    When 5 late heartbeats of its former start arrive within 1.5 seconds
    Then each of them is refused, and the upstream stays the current one

    Examples:
      | id          |
      | another id  |
      | the same id |

  Scenario Outline: A late heartbeat of a start that states a later time ends the releases of the current one
    Given a deployment of 3 <VMs>
    When the upstream of vm-b drains, and a late heartbeat of an unknown start arrives that states <time> under <id>
    Then the late heartbeat is refused
    And all keys are served again within 5 seconds
    And no key was ever held by two upstreams

    Examples:
      | VMs                                   | time         | id          |
      | VMs whose heartbeats carry the grants | a later time | another id  |
      | VMs whose heartbeats carry the grants | a later time | the same id |

  Scenario Outline: An upstream that is back at once waits to be used
    Given a deployment of 3 <VMs>
    When the upstream of vm-b restarts at once under <id>, and its health path names <named>
    Then it is the current upstream of vm-b within <seconds> seconds
    And all keys are served again within 3 seconds
    And no key was ever held by two upstreams

    Examples:
      | VMs                                   | id          | named        | seconds |
      | VMs                                   | another id  | its instance | 0.3     |
      | VMs whose heartbeats carry the grants | another id  | its instance | 0.3     |
      | VMs                                   | another id  | no instance  | 1.3     |
      | VMs                                   | the same id | its instance | 1.3     |

  Scenario: A departure of an upstream that is not in use is acknowledged
    Given a deployment of 1 VMs
    When an upstream that never announced itself to vm-a departs
    Then its departure is refused

  Scenario Outline: The keys of an upstream that only fell silent are given away while it holds them
    Given a deployment of 3 <VMs>
    When the upstream of vm-b falls silent and <answers>
    Then all keys are served again within 9 seconds
    And no key was ever held by two upstreams

    Examples:
      | VMs                                   | answers            |
      | VMs                                   | answers no release |
      | VMs                                   | answers releases   |
      | VMs whose heartbeats carry the grants | answers no release |

  Scenario: The keys of a crashed upstream wait although nothing can hold them
    Given a deployment of 3 VMs
    When the upstream of vm-b crashes while no requests arrive
    Then all keys are served again within 4 seconds

  Scenario: The keys of a silent upstream wait for a release after its grants have expired
    Given an upstream that answers grants and no release
    When a range is granted to it for 0.3 seconds, it falls silent, and the grant expires
    Then the release of the range takes less than 0.2 seconds

  Scenario: A grant that could not be sent counts as one that may be in effect
    Given an upstream that accepts no connection in time
    When a range is granted to it for 1 second
    Then it holds no keys

  Scenario: A connection that a former upstream refused marks its successor as gone
    Given a guard that sends a request to its upstream
    When the successor of the upstream announces itself, and then the connection turns out to be refused
    Then the successor is the current upstream, and runs
    And the request is no crash suspect

  Scenario: A request that was not sent counts as running when its upstream crashed
    Given a guard that sends a request to its upstream
    When the connection turns out to be refused
    Then the upstream is gone
    And no request counts as running at the crash
