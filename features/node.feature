Feature: Node processes on a platform, with stand-ins for store and upstreams

  Scenario: A request reaches the owner of its key from any VM, with its own answer
    Given a deployment of 3 VMs
    When each VM is asked for 16 keys
    Then each caller got its own answer, signed by the upstream
    And each request ran once, at the upstream that holds its key
    And the upstreams got the caller's service and a shrinking deadline

  Scenario: Foreign and unsigned answers never reach a caller
    Given a deployment of 2 VMs
    When an upstream answers an order with another request's answer
    Then its caller is told 502 and the order ran once
    When an upstream answers a lookup without its signature
    Then its caller gets its own answer

  Scenario: An unknown route is 404, and a process without a configuration says 503
    Given a deployment of 1 VM
    When a request names a path that no route has
    Then it is answered 404
    When a VM starts while the store rejects its calls
    Then it is not ready, and answers 503

  Scenario: Keys of an upstream that drains move, and it gets nothing later
    Given a deployment of 3 VMs
    When requests go on while the upstream of vm-b drains
    Then no request failed
    And vm-b holds no key, and got nothing 2 seconds after its acknowledgement

  Scenario: A crashed upstream's keys are served by others within 2 seconds
    Given a deployment of 3 VMs
    When the upstream of vm-b crashes
    Then all keys are served again within 2 seconds

  Scenario: Peers tell of moved keys what the store tells a large fleet late
    Given a deployment of 3 VMs that counts as large, and a store that is 3 seconds late
    When the upstream of vm-b crashes
    Then all processes know the table that is written then within 0.3 seconds
    And all keys are served again within 2 seconds
    And no key was ever held by two upstreams

  Scenario: A process that the store turns away hands its keys over through peers
    Given a deployment of 3 VMs
    When the store rejects vm-b's calls and its upstream drains
    Then vm-b holds no key within 3 seconds
    And all keys are served again within 2 seconds

  Scenario: A store that is out for 4 seconds stops no request
    Given a deployment of 2 VMs
    When the store is unavailable for 4 seconds while requests arrive
    Then no request failed

  Scenario: A change of the configuration reaches a process that the store turns away
    Given a deployment of 2 VMs
    When the store rejects vm-b's calls and the operator moves the route to /b/
    Then vm-b serves /b/ and no longer /a/ within 2 seconds

  Scenario: A zone that is taken out gets nothing, and comes back
    Given a deployment of 2 VMs
    When the operator takes perth-b out of service
    Then vm-b holds no key within 3 seconds
    And all keys are served again within 2 seconds
    When the operator returns perth-b to service
    Then vm-b holds keys within 3 seconds

  Scenario: A write whose answer is lost gives no key to two upstreams
    Given a deployment of 3 VMs
    When the answers to the next 2 writes are lost while vm-b drains
    Then vm-b holds no key within 4 seconds
    And no key was ever held by two upstreams

  Scenario: A restart of the process alone keeps the keys of its upstream
    Given a deployment of 2 VMs
    When the process of vm-b is killed and started again
    Then all keys are served again within 3 seconds
    And no key was ever held by two upstreams

  Scenario: Announcements that are late, foreign or unreadable change nothing
    Given a deployment of 1 VM
    When announcements come that are late, foreign, or unreadable
    Then the upstream still serves its keys

  Scenario: History that the store has dropped is listed anew
    Given a deployment of 1 VM
    When the store drops its history and the operator moves the route to /b/
    Then vm-a serves /b/ and no longer /a/ within 2 seconds

  Scenario: A VM at the address of a lost one is not taken for it
    Given a deployment of 3 VMs
    When vm-b is lost and another VM of its name's address joins
    Then all keys are served again within 4 seconds

  Scenario: A request that comes as its idle connection is closed is not lost
    Given a server whose process pauses from before a request until its idle time
    Then the caller gets its answer

  Scenario: A cold upstream is known as such though the configuration came later
    Given a guard whose upstream announced itself cold before the configuration came
    Then it takes no order until the configuration is there
    And then it starts at most 15 of 60 orders in a second

  Scenario: A lookup that was blamed for a crash and succeeds is acquitted at all VMs
    Given two guards, and a lookup that ran as another upstream crashed
    When the lookup succeeds at one guard and the other upstream crashes under it again
    Then the other guard still serves the lookup
