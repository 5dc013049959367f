Feature: An upstream that states in its answers that it leaves gets no later requests

  Scenario Outline: An upstream that leaves by its answers only gets requests for too long
    Given a deployment of 3 <VMs>
    When requests continue while the answers of vm-b state that it leaves
    Then vm-b gets no request from 2 seconds after the first such answer
    And no request failed

    Examples:
      | VMs                                   |
      | VMs                                   |
      | VMs whose heartbeats carry the grants |

  Scenario: An upstream that leaves gets requests again after the process beside it restarted
    Given a deployment of 3 VMs
    When the answers of vm-b state that it leaves, and its process restarts a second later
    Then vm-b gets no request from 2 seconds after the first such answer

  Scenario: A late answer of a former incarnation does not mark its successor as leaving
    Given a guard whose upstream states limits
    When its upstream restarts while a request runs, whose answer states that it leaves
    Then the guard still accepts requests

  Scenario: Requests that wait at an upstream that leaves are sent to it for too long
    Given a guard whose upstream is full and leaves
    Then the waiting requests are rejected within 2 seconds, to be sent elsewhere

  Scenario: A departure that arrives before the first announcement is acknowledged and forgotten
    Given a process that does not know its upstream yet
    When the upstream departs, and announces itself as ready afterwards
    Then the process takes the upstream as leaving since then
    But not its next life under the same name

  Scenario: An upstream that departs beside a restarted process gets requests for too long
    Given a deployment of 3 VMs
    When the process of vm-b restarts, and its upstream departs before it announces itself again
    Then vm-b gets no request from 2 seconds after its departure

  Scenario Outline: A departure is forgotten with the process that acknowledged it
    Given a deployment of 3 VMs
    When the upstream of vm-b departs <when> its process stops, and the next process starts
    Then the next process takes the upstream as leaving
    And the member of vm-b was never removed

    Examples:
      | when           |
      | shortly after  |
      | shortly before |
      | 1.8 s after    |

  Scenario: A departure is forgotten as its upstream is the current one again
    Given a process that knows its upstream
    When the upstream departs, another one is taken, and the first one is confirmed again
    Then the process takes the upstream as leaving since then

  Scenario: A departure that names no start binds each later life of the upstream
    Given a process that does not know its upstream yet
    When a departure without a start arrives, and the upstream starts twice afterwards
    Then the process takes the upstream as staying
