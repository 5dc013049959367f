Feature: A grant is not sent on what was true some time ago

  Scenario Outline: The lines on granted keys name the table and the lease that they rest on
    Given a deployment of 3 <VMs>
    When vm-b drains while the log is recorded
    Then each line "<line>" names the later table, from whom it came and a lease

    Examples:
      | VMs                                   | line         |
      | VMs                                   | keys_granted |
      | VMs whose heartbeats carry the grants | keys_stated  |
