Feature: Confirmed configurations are in force in time while much else happens

  Scenario Outline: Processes and the store are disturbed while the configuration changes
    When the configuration changes for <seconds> seconds among disturbances, with seed <seed>
    Then each version is in force in time, and no process goes back to an older one

    Examples:
      | seed | seconds |
      | 1    | 12      |
      | 2    | 12      |
