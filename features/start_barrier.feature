Feature: A process that starts grants no keys that its predecessor may have given away

  Scenario Outline: A hand-over is carried out after its writer was killed and has started again
    Given a deployment of 3 <VMs>
    When the process of vm-b is killed as it writes a hand-over, which the store carries out 3 seconds later
    Then no key was ever held by two upstreams
    And the late write was refused by the store
    And all keys are served again within 3 seconds

    Examples:
      | VMs                                   |
      | VMs                                   |
      | VMs whose heartbeats carry the grants |

  Scenario: A hand-over is carried out before its writer has started again
    Given a deployment of 3 VMs
    When the process of vm-b is killed as it writes a hand-over, which the store carries out 0 seconds later
    Then all keys are served again within 3 seconds
    And no key was ever held by two upstreams

  Scenario: A process that starts uses its keys while nobody can write the table
    Given a deployment of 3 VMs
    When the process of vm-b starts again while the store rejects all writes
    Then the upstream of vm-b takes no keys until the store accepts writes

  Scenario: A process takes the table that it first read for a later one
    Given a process that first read the store at revision 40
    Then its barrier is not passed by a table of revision 40
    And its barrier is not passed by a table of revision 39
    And its barrier is passed by a table of revision 41

  Scenario: A process waits for a second table although the first was created after its start
    Given a process that found no table when it listed the store at revision 40
    Then its barrier is passed by a table of revision 41

  Scenario: A process waits for another write although the store has entered a higher era
    Given a process that first read the store at revision 40
    Then its barrier is passed by a table of revision 12 of the next era

  Scenario: A write of the barrier that has no effect is not repeated
    Given a deployment of 3 VMs
    When the process of vm-b starts again, and the store loses its first write of the table
    Then the upstream of vm-b takes keys again within 3 seconds

  Scenario Outline: Each process of a fleet writes the table when all start together
    Then <nodes> processes that start within <spread> seconds write the table at most <writes> times on average
    And each of them waits at most <wait> seconds for the barrier

    Examples:
      | nodes | spread | writes | wait |
      | 3     | 0.1    | 3      | 0.3  |
      | 72    | 0.5    | 6      | 0.8  |
      | 72    | 3.0    | 16     | 0.8  |
