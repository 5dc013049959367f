Feature: Placement of slices

  Scenario: First assignment is balanced and spread over availability zones
    Given a placement of 192 slices over box-office-1..6 in 3 availability zones
    When the placement is proposed and written
    Then the placement owns between 32 and 32 slices per member
    And the placement has the owner and successors of each slice in different zones

  Scenario: A complete placement proposes no further change
    Given a placement of 192 slices over box-office-1..6 in 3 availability zones
    When the placement is proposed and written
    Then the placement proposes nothing more

  Scenario: One plan assigns a bounded number of slices
    Given a placement of 1024 slices over box-office-1..40 in 3 availability zones
    Then the placement's first plan assigns 128 slices
