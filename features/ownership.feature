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

  Scenario: A restarted witness answers with what its former life may have vouched
    Given a witness that started 1.2 seconds ago
    When a successor asks it about an incarnation that it never heard
    Then it promises and its last word lapses in at least 0.3 seconds

  Scenario: A restarted witness vouches only for incarnations taken since
    Given a witness that started 0.1 seconds ago
    Then it vouches for an incarnation taken since and for no other

  Scenario: A holder paused past its lease may not dispatch when it wakes
    Given a settled ownership world
    When the owner of slice 0 is paused for 4 seconds
    Then every key of the ownership world is served again within 2.5 seconds
    And 4 seconds later the paused process holds no right under its old incarnation

  Scenario: Two of three witnesses in a lost availability zone
    Given an ownership world with 6 processes in 2 availability zones
    When 14 seconds of the ownership world pass
    And the availability zone without the owner of slice 0 is lost
    Then every key of the ownership world is served again within 5 seconds

  Scenario: The owner is cut from its witnesses but not from callers
    Given a settled ownership world
    When the owner of slice 0 is cut off from all other processes
    Then every key of the ownership world is served again within 2.5 seconds
    And the process that was cut off owns nothing

  Scenario: A cut between the owner and the platform changes nothing
    Given a settled ownership world
    When the owner of slice 0 is cut off from the platform
    Then the owner of slice 0 serves on for 5 seconds without a gap

  Scenario: The last successor goes too
    Given a settled ownership world
    When all names of the row of slice 0 are lost and replaced after 1 second
    Then every key of the ownership world is served again within 5 seconds

  Scenario: All processes restart at once
    Given a settled ownership world
    When all processes of the ownership world restart
    Then every key of the ownership world is served again within 3 seconds

  Scenario: A dead upstream is released by message at once
    Given a settled ownership world
    When the upstream of the owner of slice 0 dies
    Then every key of the ownership world is served again within 0.2 seconds

  Scenario: A drained process hands over without waiting for a lease
    Given a settled ownership world
    When the owner of slice 0 is drained
    Then every key of the ownership world is served again within 1.5 seconds
    And the drained process owns nothing after 3 seconds

  Scenario: A lost answer of the platform is read back, not repeated
    Given a settled ownership world
    When every answer of the platform is lost for 3 seconds after a loss of the owner
    Then every key of the ownership world is served again within 0 seconds
    And no member of the ownership world took more than 6 incarnations
