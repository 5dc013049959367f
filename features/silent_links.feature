Feature: Operators' changes are in force in time although links between processes are silent

  A link may stay open and deliver nothing any more, without a reset, while new ones
  work. A reader's message to the processes of its zone is then lost.

  Scenario: Programs follow a configuration that is written as links fall silent
    Given 9 programs whose links can fall silent
    When the open links of 9 programs fall silent, and a route is added 0.05, 0.3, 0.6 and 1.0 seconds later
    Then each change is in force everywhere within 2.0 seconds

  Scenario: Programs follow a configuration that is written as the links of some fall silent
    Given 9 programs whose links can fall silent
    When the open links of 6 programs fall silent, and a route is added 0.02, 0.1 and 0.2 seconds later
    Then each change is in force everywhere within 2.0 seconds

  Scenario: A configuration is in force within a second of the silence of all links
    Given a deployment of 8 VMs whose links can fall silent
    When all open links fall silent
    Then the operator's next configuration is in force everywhere within 1.0 seconds

  Scenario: A zone is out within a second of the silence of all links
    Given a deployment of 8 VMs whose links can fall silent
    When all open links fall silent
    And the operator takes perth-a out of service
    Then all processes know within 1.0 seconds that only perth-a is out

  Scenario: A process asks over the connection of the peer that told, as its own links are silent
    Given a deployment of 8 VMs whose links can fall silent
    When vm-e gets no message of its readers, and no answer of the store
    And the links that vm-e has opened fall silent
    Then the operator's next configuration is in force everywhere within 1.3 seconds

  Scenario: A process asks the store, as the peers that told do not answer
    Given a deployment of 8 VMs whose links can fall silent
    When vm-e gets no message of its readers, and no listing of a peer
    Then the operator's next configuration is in force everywhere within 1.6 seconds

  Scenario: A process that started after a zone came back lacks nothing
    Given a deployment of 4 VMs whose links can fall silent
    When a zone is taken out and comes back, and vm-z joins 1 seconds later
    And 2 seconds pass
    Then vm-z lacks no change of the operators, and asks nobody for 2 seconds

  Scenario: Orders that are sent as links fall silent are answered before their deadline
    Given a deployment of 4 VMs whose links can fall silent
    When all open links fall silent
    And each VM sends an order for a key of each other one, with 1.7 seconds left
    Then all orders are answered 200 and ran once

  Scenario: An upstream that drains as links fall silent gets no later requests
    Given a deployment of 4 VMs whose links can fall silent
    When all open links fall silent
    And requests continue while the upstream of vm-b drains
    Then vm-b holds no key, and got no request from 2 seconds after its acknowledgement
