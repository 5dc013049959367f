Feature: Placement under any sequence of changes

  Scenario: Rows stay valid through joins, losses, drains and zones taken out
    Then 15 random histories of a placement group satisfy these rules
      | rule                                                    |
      | a row's version grows by one with each change           |
      | a name stays retiring until it is cleared               |
      | no slice is assigned to a member that may own none      |
      | a loss without hand-overs moves 1.2 x the least at most |
      | the highest count is at most 1.2 times the mean one     |
