Feature: Processes join by seeds and learn from peers

  Scenario: A process that starts while the platform is out
    Given a joining fleet of four VMs
    When the platform of the joining fleet goes out and a lost VM starts again
    Then the restarted VM has the configuration in force from its seeds
    And the restarted VM answers lookups of callers
    And the restarted VM owns nothing until the platform is back

  Scenario: Notices of peers reach the guard
    Given a joining fleet of four VMs
    When a poisoned order crashes an upstream of the joining fleet
    Then the other guards of the joining fleet know its suspect
