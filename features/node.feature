Feature: Node processes on a platform, with stand-ins for store and upstreams

  Scenario: A request from any VM is run once by the owner of its key and gets its own answer
    Given a deployment of 3 VMs
    When each VM receives requests for 16 keys
    Then each caller receives its own answer, signed by the upstream
    And each request ran once, at the upstream that holds its key
    And the upstreams received the caller's service and no more than its time left

  Scenario: Answers to other requests and unsigned answers never reach a caller
    Given a deployment of 2 VMs
    When an upstream answers a non-idempotent request with another request's answer
    Then its caller receives 502 and the request ran once
    When an upstream answers an idempotent request without a signature
    Then its caller receives its own answer

  Scenario: A process that follows another one on its VM retries as if it were the first
    Given a deployment of 2 VMs
    Then vm-a may spend its part of the fixed retries
    When the process of vm-a starts again
    Then vm-a may spend none of the fixed retries
    And vm-b may spend its part of the fixed retries

  Scenario: An unknown route gets 404, and a process without a configuration answers 503
    Given a deployment of 1 VM
    When a request has a path without a route
    Then its caller receives the status 404
    When a VM starts while the store rejects its calls
    Then it is not ready, and answers 503

  Scenario: The keys of a draining upstream move, and it gets no later requests
    Given a deployment of 3 VMs
    When requests continue while the upstream of vm-b drains
    Then no request failed
    And vm-b holds no key, and got no request from 2 seconds after its acknowledgement

  Scenario: A crashed upstream's keys are served by others within 2 seconds
    Given a deployment of 3 VMs
    When the upstream of vm-b crashes
    Then all keys are served again within 2 seconds

  Scenario: In a large fleet, peers deliver a table change that the store delivers late
    Given a deployment of 3 VMs treated as a large fleet, and a store that is 3 seconds late
    When the upstream of vm-b crashes
    Then all processes have the table written after it within 0.3 seconds
    And all keys are served again within 2 seconds
    And no key was ever held by two upstreams

  Scenario: A process whose store calls are rejected hands its keys over through peers
    Given a deployment of 3 VMs
    When the store rejects vm-b's calls and its upstream drains
    Then vm-b holds no key within 3 seconds
    And all keys are served again within 2 seconds

  Scenario: A store outage of 4 seconds fails no request
    Given a deployment of 2 VMs
    When the store is unavailable for 4 seconds while requests arrive
    Then no request failed

  Scenario: A change of the configuration reaches a process whose store calls are rejected
    Given a deployment of 2 VMs
    When the store rejects vm-b's calls and the operator moves the route to /b/
    Then vm-b serves /b/ and no longer /a/ within 2 seconds

  Scenario: A zone that is taken out holds no keys until it is taken back
    Given a deployment of 2 VMs
    When the operator takes perth-b out of service
    Then vm-b holds no key within 3 seconds
    And all keys are served again within 2 seconds
    When the operator returns perth-b to service
    Then vm-b holds keys within 3 seconds

  Scenario: A table write whose answer is lost gives no key to two upstreams
    Given a deployment of 3 VMs
    When the answers to the next 2 writes are lost while vm-b drains
    Then vm-b holds no key within 4 seconds
    And no key was ever held by two upstreams

  Scenario: A write that meets another revision learns it without a further call
    Given a deployment of 2 VMs
    When a process writes a table that another one has changed since
    Then the write is refused and the new table is known without a read

  Scenario: A restart of the process alone keeps the keys of its upstream
    Given a deployment of 2 VMs
    When the process of vm-b is killed and started again
    Then all keys are served again within 3 seconds
    And no key was ever held by two upstreams

  Scenario: Late, foreign and malformed announcements are ignored
    Given a deployment of 1 VM
    When late, foreign and malformed announcements arrive
    Then the upstream still serves its keys

  Scenario: A process lists objects again when the store has dropped its history
    Given a deployment of 1 VM
    When the store drops its history and the operator moves the route to /b/
    Then vm-a serves /b/ and no longer /a/ within 2 seconds

  Scenario: A VM at the address of a lost one is not mistaken for it
    Given a deployment of 3 VMs
    When vm-b is lost and another VM joins at its address
    Then all keys are served again within 4 seconds

  Scenario: A request that arrives as its idle connection is closed is not lost
    Given a server whose process pauses from before a request until its idle time-out
    Then the caller receives its answer

  Scenario: A cold upstream is limited although the configuration arrives after its announcement
    Given a guard whose upstream announced itself cold before the configuration arrived
    Then it rejects requests until the configuration arrives
    And it then starts at most 15 of 60 requests in a second

  Scenario: A crash suspect that succeeds at one VM is cleared at all VMs
    Given two guards, and a request that ran when another upstream crashed
    When the request succeeds at one guard and the other upstream crashes on it again
    Then the other guard still runs the request
