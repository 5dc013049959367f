Feature: Placement under any sequence of changes

  Scenario: Rows keep their promises through joins, losses, drains and zones out
    Then 15 drawn histories of a placement group keep these rules
      | rule                                                  |
      | a row's version grows by one with each change         |
      | a name stays retiring until it is cleared             |
      | no slice is given to a member that may own none       |
      | a loss of a settled one moves at most 1.2 x the least |
      | the highest count is at most 1.2 times the mean one   |
