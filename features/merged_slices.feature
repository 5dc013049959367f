Feature: Orders run once although the slice of their key is carved out or merged back

  Scenario: An order runs twice after its carved slice lost its owner and was merged back
    Given a control group of 6 processes over 256 slices
    And guards that follow the rows of the control group
    When the control group serves two hot keys in one slice for 60 seconds
    And an order runs at the owner of a carved slice, and that process is lost
    And the order is sent again each second for 119 seconds of even load
    Then the order has run once, and the outcome of each repeat is unknown
    And 60 seconds later its slice is merged back

  Scenario: An order of a merged slice runs again after the base slice is handed over
    Given a guard that runs an order under a slice that is then merged back
    When the upstream of the merged slice answers the order
    And the base slice is handed over to another guard
    And the order of the merged slice is sent again to that guard
    Then the order of the merged slice has run once

  Scenario: The base slice is released while an order of a merged slice runs
    Given a guard that runs an order under a slice that is then merged back
    When the base slice is to be handed over
    Then the base slice is not reported idle
    When the upstream of the merged slice answers the order
    Then the base slice is reported idle, and the order is handed over with it

  Scenario: An order of a carved slice runs again at the base's owner after its own was lost
    Given a guard that owns a base slice under tokens 256 to 1024
    When it gains a carved slice under token 769 after the loss of its owner
    And an order with ticket 768 is sent to it again for the carved slice
    Then the order of the carved slice is not run, and its outcome is unknown

  Scenario: A carved slice keeps the tickets of the base slice that it is carved out of
    Given a guard that owns a base slice under tokens 256 to 1024
    When it gains a carved slice under token 1024, that of the base slice
    And an order with ticket 512 is sent to it again for the carved slice
    Then the order of the carved slice is run
