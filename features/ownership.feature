Feature: Sole ownership of slices by witnessed leases

  Scenario: Every key gets one owner after a start of all processes
    Given an ownership world with 6 processes in 3 availability zones
    When 4 seconds of the ownership world pass
    Then every key of the ownership world is served

  Scenario: A successor takes over from a lost owner
    Given a settled ownership world
    When the owner of slice 0 is lost
    Then every key of the ownership world is served again within 2.5 seconds
    And the record of slice 0 names the present owner first

  Scenario: A successor takes over while the platform is down
    Given a settled ownership world
    When the platform of the ownership world goes down
    And the owner of slice 0 is lost
    Then every key of the ownership world is served again within 2.5 seconds

  Scenario: A suspicion of a healthy owner changes nothing
    Given a settled ownership world
    When all others suspect the owner of slice 0
    Then the owner of slice 0 serves on for 3 seconds without a gap
