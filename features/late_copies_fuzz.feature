Feature: Random stutter of an upstream mixes no answers up

  Scenario Outline: Fuzzing finds no answer that is not its own or not whole
    Then the client of the upstream passes its fixed budget of stutter for <exchanges>

    Examples:
      | exchanges |
      | requests  |
      | calls     |

  Scenario: Fuzzing finds no body of a stated length that contains a copy
    Then the client of the upstream passes its fixed budget of stutter for inside
