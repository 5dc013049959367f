Feature: Keys are taken without a release only from owners that have ended

  Scenario Outline: The line on a table that takes keys does not name what the end of their owner rests on
    Given a deployment of 3 VMs
    When keys are taken as <end>
    Then the line "table_written" names vm-b, the basis "<basis>", its age and "<source>"

    Examples:
      | end                                        | basis          | source            |
      | the upstream of vm-b crashes               | upstream-ended | its incarnation   |
      | another VM joins at the address of vm-b    | address-taken  | vm-x              |
      | the process and the upstream of vm-b crash | lease-expired  | the one suspecting |

  Scenario Outline: An upstream that works on behind a closed listening socket counts as ended
    Given a deployment of 3 <VMs>
    When the upstream of vm-b closes its listening socket, and works on a request for 1 s
    Then no key was ever held by two upstreams
    And that request is answered
    And all keys are served again within 3 seconds

    Examples:
      | VMs                                   |
      | VMs                                   |
      | VMs whose heartbeats carry the grants |

  Scenario: An upstream behind a closed listening socket counts as ended once its last request was cut
    Given a deployment of 3 VMs
    When the upstream of vm-b closes its listening socket, and its only request is cut at its deadline
    Then no key was ever held by two upstreams

  Scenario: An owner that drains counts as ended once another writer removes its member
    Given a deployment of 3 VMs
    When the member of vm-b is removed, while its upstream drains and it can't write it again for 4 s
    Then no key was ever held by two upstreams
    And all keys are served again within 8 seconds

  Scenario: An upstream counts as ended as its VM is given another name
    Given a deployment of 3 VMs
    When the process of vm-b starts again under another name, beside the same upstream, which drains
    Then no key was ever held by two upstreams
    And all keys are served again within 14 seconds

  Scenario: A process that starts with a lower longest hold does not wait for what its predecessor granted
    When a process starts with a longest hold of 0.2 s in its settings
    Then its upstream may hold keys of a predecessor for 5 s
