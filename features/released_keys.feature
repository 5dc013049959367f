Feature: Keys that were released are not granted again

  Scenario Outline: A process that stops during a hand-over grants the released keys again
    Given a deployment of 3 <VMs>
    When the process of vm-b is closed between the release of its keys and the write of their owners
    Then the upstream of vm-b holds none of the released keys afterwards
    And no key was ever held by two upstreams

    Examples:
      | VMs                                   |
      | VMs                                   |
      | VMs whose heartbeats carry the grants |
