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
