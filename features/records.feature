Feature: What a process knows of the store's objects

  Scenario: Changes of a table that overtake each other are applied in order
    Given records with a table, and three changes that follow on each other
    When peers send the third, the first and the second change
    Then the records hold the table after the third change

  Scenario: A change that follows on an unknown table changes nothing
    Given records with a table, and three changes that follow on each other
    When peers send the second and the third change
    Then the records still hold the first table
    When the store gives the table after the first change
    Then the records hold the table after the third change

  Scenario: A change of a table is short in a large fleet
    Given a table of 40 owners and a move of one piece
    Then the change takes less than 230 bytes

  Scenario: A table's content is short and read back as it was
    Given a table of 40 owners and 300 ranges with their handovers
    Then its content takes less than 16000 bytes
    And it is read from the store as it was
    But content whose ranges have gaps, no order or no owner names nothing
