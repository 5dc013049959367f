Feature: New versions of the platform's objects reach all processes and are never reverted

  Scenario: A change reaches every process through few watchers
    Given a versions world of 60 processes in 5 availability zones with 10% loss
    Then 10 processes of the versions world watch the platform
    When the versions world publishes a change of "config/current"
    And 5 seconds of the versions world pass
    Then 0 processes of the versions world lack the newest "config/current"

  Scenario: The exchange of versions stays within its traffic limit
    Given a versions world of 60 processes in 5 availability zones with 0% loss
    When 30 seconds of the versions world pass
    Then a process of the versions world sent at most 500 bytes a second

  Scenario: A stale read doesn't replace a newer version
    Given a versions world of 20 processes in 2 availability zones with 0% loss
    When the versions world publishes a change of "config/current"
    And 5 seconds of the versions world pass
    And every process of the versions world reads the first "config/current" again
    Then 0 processes of the versions world lack the newest "config/current"

  Scenario: Restarted processes receive the newest versions from peers
    Given a versions world of 20 processes in 2 availability zones with 0% loss
    When the versions world publishes a change of "config/current"
    And 5 seconds of the versions world pass
    And all processes but one of the versions world restart without the platform
    And 10 seconds of the versions world pass
    Then 0 processes of the versions world lack the newest "config/current"
