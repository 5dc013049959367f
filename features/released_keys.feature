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

  Scenario: A grant without an answer takes effect after its keys were handed over
    Given an upstream that answers no grant, and applies it when the call is given up
    When a range is granted to it for 1 second and then released
    Then the release takes until the latest end of the grant by the upstream's clock

  Scenario: A grant in flight as its range is split takes effect after a part was released
    Given an upstream that does not answer its first grant, and applies it when the call is given up
    When the range is split during that call, and its second part is released
    Then the release takes until the latest end of the grant by the upstream's clock

  Scenario Outline: A process that has removed its member grants keys assigned to it afterwards
    Given a deployment of 3 <VMs>
    When vm-b retires with its upstream, and vm-a assigns keys to it afterwards
    Then the upstream of vm-b has taken no keys since

    Examples:
      | VMs                                   |
      | VMs                                   |
      | VMs whose heartbeats carry the grants |

  Scenario: Released keys are handed to an owner that has become unreachable meanwhile
    Given a deployment of 3 VMs
    When vm-a drains while the store rejects writes, and vm-b ends before they succeed
    Then the keys that vm-a released are assigned to vm-c within 2 seconds

  Scenario Outline: An upstream takes keys again while the write that gives them away has no answer
    Given a deployment of 3 <VMs>
    When the upstream of vm-b resumes while the write that gives its keys away has no answer
    Then all keys are served again within 4 seconds
    And no key was ever held by two upstreams

    Examples:
      | VMs                                   |
      | VMs                                   |
      | VMs whose heartbeats carry the grants |

  Scenario: Keys stay unserved after a write that gives them away was lost
    Given a deployment of 3 VMs
    When the upstream of vm-b resumes while the write that gives its keys away has no effect
    Then all keys are served again within 4 seconds
    And no key was ever held by two upstreams

  Scenario: An owner that one peer can't reach is removed with its keys while it holds them
    Given a deployment of 3 VMs
    When vm-a can't reach vm-b for as long as members are kept
    Then the member of vm-b was never removed
    And no key was ever held by two upstreams
    And all keys are served again within 3 seconds

  Scenario: A member that has ended is never removed
    Given a deployment of 3 VMs
    When vm-b ends without notice, and its keys are taken over
    Then vm-a removes the member of vm-b

  Scenario: The next life of an upstream takes keys under the token of the former one
    Given a deployment of 3 VMs
    When the upstream of vm-b refuses a grant, and listens again before it announces its next life
    Then its next life has taken no keys under a token of the former one
    And all keys are served again within 3 seconds

  Scenario Outline: An upstream takes keys again that others got by a write which was lost
    Given a deployment of 3 VMs
    When a write that gives keys of vm-a away is carried out without an answer
    And <lost>, so that vm-a never learns of that write
    Then all keys are served again within 14 seconds
    And no key was ever held by two upstreams

    Examples:
      | lost                  |
      | the store is restored |
      | the table is damaged  |
