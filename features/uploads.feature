Feature: Bodies of requests are limited by the configuration

  Scenario: A body within the configured limit is refused as too large
    Given a deployment of 1 VM
    Then an upload of 20 MB is answered 200
    And an upload of 65 MB is answered 413

  Scenario: A changed limit of bodies applies only after a restart
    Given a deployment of 1 VM
    When the operator changes the limit of bodies to 2 MB
    Then within 2 seconds an upload of 3 MB is answered 413 on an open connection
    And an upload of 1 MB is answered 200
    When the operator changes the limit of bodies to 24 MB
    Then within 2 seconds an upload of 20 MB is answered 200 on an open connection
