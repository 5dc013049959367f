Feature: Records of the store's objects in a process

  Scenario: Table deltas that arrive out of order are applied in order
    Given records with a table, and three consecutive deltas
    When peers send the third, the first and the second delta
    Then the records hold the table after the third delta

  Scenario: A delta is not applied before its base revision is present
    Given records with a table, and three consecutive deltas
    When peers send the second and the third delta
    Then the records still hold the first table
    When the store returns the table after the first delta
    Then the records hold the table after the third delta

  Scenario Outline: The log does not tell from where a process has a configuration
    Given records that have version 1 of the configuration from the store
    When version 2 comes <from where>
    Then the log names the origin <origin> of version 2

    Examples:
      | from where                | origin       |
      | with a watch              | watch        |
      | in a listing of a peer    | peer-listing |
      | with changes of a reader  | peer-changes |

  Scenario: A table delta stays small in a large fleet
    Given a table of 40 owners and a transfer of one range
    Then the delta takes less than 230 bytes

  Scenario: A table's content is compact and decoded without loss
    Given a table of 40 owners and 300 ranges with their hand-overs
    Then its content takes less than 16000 bytes
    And it is decoded from the store's object without loss
    But content whose ranges have gaps, no order or no owner is ignored
