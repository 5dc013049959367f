Feature: Checking a body takes little time, whatever it contains

  Scenario Outline: A body of many status lines holds up other requests
    Given a body of <lines>, of which none ends it
    When the body is checked
    Then that takes less than a sixth of the shortest latency target

    Examples:
      | lines                                  |
      | status lines and the start of a header |
      | status lines within headers            |
