Feature: Orders run once although the slice of their key is carved out and merged back

  Scenario: An order runs twice after its carved slice lost its owner and was merged back
    Given a control group of 6 processes over 256 slices
    And guards that follow the rows of the control group
    When the control group serves two hot keys in one slice for 60 seconds
    And an order runs at the owner of a carved slice, and that process is lost
    And the order is sent again each second for 119 seconds of even load
    Then the order has run once, and the outcome of each repeat is unknown
    And 60 seconds later its slice is merged back
