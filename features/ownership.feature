Feature: Exclusive ownership of slices by leases from witnesses

  Scenario: Every key gets an owner after all processes start
    Given an ownership simulation with 6 processes in 3 availability zones
    When 4 seconds of the ownership simulation pass
    Then every key of the ownership simulation is served

  Scenario: A successor takes over after the owner is lost
    Given an ownership simulation after start-up
    When the owner of slice 0 is lost
    Then every key of the ownership simulation is served again within 2.5 seconds
    And the stored row of slice 0 starts with the current owner

  Scenario: A successor takes over while the platform is down
    Given an ownership simulation after start-up
    When the platform of the ownership simulation goes down
    And the owner of slice 0 is lost
    Then every key of the ownership simulation is served again within 2.5 seconds

  Scenario: A healthy owner that is suspected keeps its slices
    Given an ownership simulation after start-up
    When all others suspect the owner of slice 0
    Then the owner of slice 0 keeps serving for 3 seconds without interruption

  Scenario: A restarted witness reports leases that its previous run may have granted
    Given a witness that started 1.2 seconds ago
    When a successor requests a promise about an incarnation unknown to it
    Then it promises and reports leases that expire in at least 0.3 seconds

  Scenario: A restarted witness grants leases only to incarnations created since
    Given a witness that started 0.1 seconds ago
    Then it grants a lease to an incarnation created since and to no other

  Scenario: A process paused beyond its lease does not own its slices when it resumes
    Given an ownership simulation after start-up
    When the owner of slice 0 is paused for 4 seconds
    Then every key of the ownership simulation is served again within 2.5 seconds
    And 4 seconds later the paused process owns nothing under its old incarnation

  Scenario: Two of three witnesses are lost with their availability zone
    Given an ownership simulation with 6 processes in 2 availability zones
    When 14 seconds of the ownership simulation pass
    And the availability zone without the owner of slice 0 is lost
    Then every key of the ownership simulation is served again within 5 seconds

  Scenario: An owner isolated from its witnesses loses its slices
    Given an ownership simulation after start-up
    When the owner of slice 0 is isolated from all other processes
    Then every key of the ownership simulation is served again within 2.5 seconds
    And the isolated process owns nothing

  Scenario: No process can take over from an owner that was isolated for seconds before
    Given an ownership simulation after start-up
    When the owner of slice 0 is isolated from all other processes
    And 4 seconds of the ownership simulation pass
    And the isolated process is reachable again and is given slice 0
    And the owner of slice 0 is lost
    Then every key of the ownership simulation is served again within 5 seconds

  Scenario: An owner isolated from the platform keeps its slices
    Given an ownership simulation after start-up
    When the owner of slice 0 is isolated from the platform
    Then the owner of slice 0 keeps serving for 5 seconds without interruption

  Scenario: The owner and all successors are lost
    Given an ownership simulation after start-up
    When all incarnations in the row of slice 0 are lost and replaced after 1 second
    Then every key of the ownership simulation is served again within 5 seconds

  Scenario: All processes restart at once
    Given an ownership simulation after start-up
    When all processes of the ownership simulation restart
    Then every key of the ownership simulation is served again within 3 seconds

  Scenario: The slices of a dead upstream are released by message at once
    Given an ownership simulation after start-up
    When the upstream of the owner of slice 0 dies
    Then every key of the ownership simulation is served again within 0.2 seconds

  Scenario: A drained process hands over without waiting for its lease to expire
    Given an ownership simulation after start-up
    When the owner of slice 0 is drained
    Then every key of the ownership simulation is served again within 1.5 seconds
    And the drained process owns nothing after 3 seconds

  Scenario: A write whose reply is lost is read back, not repeated
    Given an ownership simulation after start-up
    When every reply of the platform is lost for 3 seconds after the owner is lost
    Then every key of the ownership simulation is served again within 0 seconds
    And no member of the ownership simulation used more than 6 incarnations

  Scenario: A process takes its ledger for complete although a later owner has expired
    Given 3 ownership simulations after start-up, with seeds 2, 3 and 7
    When the owner of slice 0 is paused beyond its lease 12 times in each
    Then each gain that names the token of the previous owner names the latest one
    And 150 gains or more name it
