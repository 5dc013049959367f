Feature: Node processes whose upstreams get their keys in the answers to heartbeats

  Scenario: Keys are granted without a call, and each request runs once at their owner
    Given a deployment of 3 VMs whose heartbeats carry the grants
    When each VM receives requests for 16 keys
    Then each caller receives its own answer, signed by the upstream
    And each request ran once, at the upstream that holds its key

  Scenario: The keys of a draining upstream move with their hand-over tokens
    Given a deployment of 3 VMs whose heartbeats carry the grants
    When requests continue while the upstream of vm-b drains
    Then no request failed
    And vm-b holds no key, and got no request from 2 seconds after its acknowledgement
    And another upstream was given a hand-over token of vm-b
    And no key was ever held by two upstreams

  Scenario: Lost answers to heartbeats never leave a key at two upstreams
    Given a deployment of 3 VMs whose heartbeats carry the grants
    When the answers to the next 4 heartbeats of vm-b are lost while it drains
    Then vm-b holds no key within 4 seconds
    And no key was ever held by two upstreams
    And all keys are served again within 2 seconds

  Scenario: A restart of the process alone keeps the keys of its upstream
    Given a deployment of 2 VMs whose heartbeats carry the grants
    When the process of vm-b is killed and started again
    Then all keys are served again within 3 seconds
    And no key was ever held by two upstreams

  Scenario: A crashed upstream's keys are served by others within 2 seconds
    Given a deployment of 3 VMs whose heartbeats carry the grants
    When the upstream of vm-b crashes
    Then all keys are served again within 2 seconds
    And no key was ever held by two upstreams

  Scenario: A process does not remove its member while its upstream may hold keys
    Given a deployment of 2 VMs whose heartbeats carry the grants
    When vm-b stops before its upstream has released its keys
    Then the member of vm-b is still in the store
    And no key was ever held by two upstreams

  Scenario: An upstream that accepts no connection in time does not count as gone
    Given a deployment of 2 VMs whose heartbeats carry the grants
    When the upstream of vm-b answers no connection but keeps announcing itself
    Then vm-b still owns its keys

  Scenario: A restarted upstream gets its keys with the answer to its first heartbeat
    Given a deployment of 2 VMs whose heartbeats carry the grants
    When the upstream of vm-b restarts and announces itself each 3 seconds
    Then vm-b holds keys within 0.8 seconds of its first heartbeat

  Scenario: A zone that is taken out holds no keys until it is taken back
    Given a deployment of 2 VMs whose heartbeats carry the grants
    When the operator takes perth-b out of service
    Then vm-b holds no key within 3 seconds
    And all keys are served again within 2 seconds
    When the operator returns perth-b to service
    Then vm-b holds keys within 3 seconds

  Scenario: Orders that wait for keys when their process ends are cut off without an answer
    Given a deployment of 2 VMs whose heartbeats carry the grants
    When the process of vm-a ends while its upstream works on a key, and 4 orders for it arrive
    Then the 4 orders are answered 503 and have not run
