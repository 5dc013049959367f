Feature: Callers are served while processes are stopped, killed and started again

  Scenario Outline: A series of stops, kills, restarts and reloads loses or doubles a request
    When processes of a deployment end and start again for <seconds> seconds, with seed <seed>
    Then each request that a process had read was answered, unless the process was killed
    And no order ran twice, or although its caller was told that it did not run

    Examples:
      | seed | seconds |
      | 1    | 8       |
      | 2    | 8       |
