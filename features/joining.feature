Feature: Processes join through seeds and receive updates from peers

  Scenario: A process that starts during a platform outage answers but owns nothing
    Given a joining fleet of four VMs
    When the platform of the joining fleet fails and a lost VM restarts
    Then the restarted VM receives the configuration in force from its seeds
    And the restarted VM answers lookups of callers
    And the restarted VM owns no slice until the platform is back

  Scenario: Crash suspects reach the guards of other processes
    Given a joining fleet of four VMs
    When a poisoned request crashes an upstream of the joining fleet
    Then the other guards of the joining fleet hold it as a crash suspect
