Feature: Taking availability zones out and back in

  Scenario: A zone that is taken out loses its slices in time and in batches
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group takes out perth-a
    Then the zone group owns no slice in perth-a after 2.5 seconds
    And the zone group moved its slices in at least 3 batches
    And the zone group moved no more than the slices of perth-a
    And the zone group names no successor in perth-a after 10 seconds

  Scenario: Two zones are taken out at once
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group takes out perth-a and perth-b
    Then the zone group owns no slice in perth-a after 2.5 seconds
    And the zone group owns no slice in perth-b after 0 seconds
    And the zone group moved no more than the slices of perth-a and perth-b

  Scenario: A returning zone is cold at first, and its lost process gets nothing
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group takes out perth-a
    And the zone group loses box-office-4 and brings perth-a back 30 seconds later
    Then box-office-1 gets no slice of the zone group for 9 seconds
    And box-office-1 gets between 42 and 52 slices of the zone group within 150 seconds
    And box-office-4 gets no slice of the zone group

  Scenario: A draining upstream loses its slices in time
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group drains box-office-2
    Then the zone group owns no slice at box-office-2 after 2.5 seconds
    And the zone group moved no more than the slices of box-office-2

  Scenario: A zone's slices move although the proposer is in it
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group takes out the zone of its first proposer
    Then the zone group owns no slice in that zone after 2.5 seconds

  Scenario: A proposer without the operators' orders gives no slice to a zone that is out
    Given a zone group of 6 processes over 256 slices under even load
    When the zone group takes out perth-a
    Then the zone group owns no slice in perth-a after 2.5 seconds
    When box-office-1 of the zone group restarts without the operators' orders
    Then the zone group owns no slice in perth-a after 30 seconds

  Scenario Outline: The remaining upstreams must be able to carry the load
    Given a zone group of 6 processes over 256 slices at a utilisation of <busy>
    When the zone group checks taking out <zones>
    Then the zone group answers <allowed> with code "<code>" and <forced> when forced

    Examples:
      | busy | zones                     | allowed | code                       | forced |
      | 0.50 | perth-a                   | yes     |                            | yes    |
      | 0.60 | perth-a                   | no      | availability_zone_overload | yes    |
      | 0.50 | perth-a, perth-b          | no      | availability_zone_overload | yes    |
      | 0.01 | perth-a, perth-b, perth-c | no      | availability_zone_last     | no     |

  Scenario: A zone may not be taken out under an unknown load unless forced
    Given a zone group of 6 processes over 256 slices without reports
    When the zone group checks taking out perth-a
    Then the zone group answers no with code "availability_zone_load_unknown" and yes when forced

  Scenario: A process in a zone that is out stops admitting work on its own
    Then a process admits work 2.9 seconds after its zone was taken out but not 3.0
