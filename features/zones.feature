Feature: Availability zones out and back

  Scenario: A zone that is taken out is emptied in time, in batches
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group takes out perth-a
    Then the zone group owns no slice in perth-a after 2.5 seconds
    And the zone group moved its slices in at least 3 batches
    And the zone group moved no more than the slices of perth-a
    And the zone group names nobody in perth-a as a successor after 10 seconds

  Scenario: Two zones are taken out at once
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group takes out perth-a and perth-b
    Then the zone group owns no slice in perth-a after 2.5 seconds
    And the zone group owns no slice in perth-b after 0 seconds
    And the zone group moved no more than the slices of perth-a and perth-b

  Scenario: A zone comes back half, cold at first
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group takes out perth-a
    And the zone group loses box-office-4 and brings perth-a back 30 seconds later
    Then the zone group gives box-office-1 nothing for 9 seconds
    And the zone group gives box-office-1 between 42 and 52 slices within 150 seconds
    And the zone group gives box-office-4 nothing

  Scenario: A draining upstream is emptied like a zone
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group drains box-office-2
    Then the zone group owns no slice at box-office-2 after 2.5 seconds
    And the zone group moved no more than the slices of box-office-2

  Scenario: A zone's slices move on when the proposer is in it
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group takes out the zone of its first proposer
    Then the zone group owns no slice in that zone after 2.5 seconds

  Scenario: A process that has not learnt of a zone out gives it nothing
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group takes out perth-a
    Then the zone group owns no slice in perth-a after 2.5 seconds
    When box-office-1 of the zone group restarts before it learns of any zone
    Then the zone group owns no slice in perth-a after 30 seconds

  Scenario Outline: What is left must bear the load
    Given a zone group of 6 processes over 256 slices at a utilisation of <busy>
    When the zone group is asked to take out <zones>
    Then the zone group says <allowed> with code "<code>" and <forced> when forced

    Examples:
      | busy | zones                     | allowed | code                       | forced |
      | 0.50 | perth-a                   | yes     |                            | yes    |
      | 0.60 | perth-a                   | no      | availability_zone_overload | yes    |
      | 0.50 | perth-a, perth-b          | no      | availability_zone_overload | yes    |
      | 0.01 | perth-a, perth-b, perth-c | no      | availability_zone_last     | no     |

  Scenario: Unknown load is no permission
    Given a zone group of 6 processes over 256 slices without reports
    When the zone group is asked to take out perth-a
    Then the zone group says no with code "availability_zone_load_unknown" and yes when forced

  Scenario: A process in a zone that is out stops admitting by itself
    Then the zone deadline lets a process admit 2.9 seconds after out but not 3.0
