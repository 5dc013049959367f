Feature: One odd entry harms no other, and a repaired one is followed again

  Scenario Outline: An object with <odd> hides none of the others
    Given a store with the members vm-a, vm-b and vm-c
    When another writer leaves an object vm-b with <odd>
    Then a listing of the members contains vm-a and vm-c as before
    And a watch of the members reports a change of vm-c that comes after it
    When vm-b is written as it should be
    Then a watch of the members reports vm-b as it was written

    Examples:
      | odd                                      |
      | content nested 5000 levels               |
      | content nested 100 levels                |
      | content of objects nested 5000 levels    |
      | content nested beside text with brackets |
      | content of another type                  |
      | content with a number too large          |
      | content that is not UTF-8                |
      | content with an unpaired surrogate       |
      | no object                                |
      | an empty object                          |
      | nested 5000 levels                       |
      | metadata nested 5000 levels              |
      | metadata without a name                  |
      | a name of another type                   |
      | a name that is not UTF-8                 |
      | a revision beyond 64 bits                |
      | a revision of 5000 digits                |
      | a revision above the store's             |
      | a negative revision                      |

  Scenario Outline: A member whose object gets <odd> is not taken for removed
    Given a store with the members vm-a, vm-b and vm-c
    And records of its members
    When another writer leaves an object vm-b with <odd>
    And the members are listed again
    Then no member is taken for removed, and vm-a and vm-c are members
    When vm-b is written as it should be
    And the members are listed again
    Then vm-b is a member as it was written
    When vm-b is removed
    And the members are listed again
    Then vm-b is taken for removed

    Examples:
      | odd                          |
      | content nested 5000 levels   |
      | content nested 100 levels    |
      | content of another type      |
      | metadata nested 5000 levels  |
      | no object                    |
      | a name of another type       |
      | a revision beyond 64 bits    |
      | a revision above the store's |


  Scenario Outline: An object with <odd> at the end of a page does not stop the listing
    Given a store with the members vm-a, vm-b and vm-c, and 2 objects on a page
    When another writer leaves an object vm-b with <odd>
    Then a listing of the members contains vm-a and vm-c as before

    Examples:
      | odd                        |
      | content nested 5000 levels |
      | a revision beyond 64 bits  |
      | no object                  |
      | a name of another type     |

  Scenario: A listing whose page names no object fails, and does not go on without end
    Given a store with the members vm-a, vm-b and vm-c, and 1 objects on a page
    When another writer leaves an object vm-b with no object
    Then a listing of the members fails with the code store-failed

  Scenario Outline: A first object with <odd> is not taken for a restore of the store
    Given a store with the members vm-a, vm-b and vm-c
    When another writer leaves an object vm-a with <odd>
    Then a listing of the members contains vm-b and vm-c as before

    Examples:
      | odd                       |
      | no object                 |
      | a revision beyond 64 bits |

  Scenario: An object whose name is no plain part of a path is listed, read and removed
    Given a store with the members vm-a, vm-ö ?&/# and vm-c, and 2 objects on a page
    Then a listing of the members contains vm-a and vm-c as before
    And the member vm-ö ?&/# can be read and removed

  Scenario Outline: A member with <odd> is no member, and a repaired one is
    Given a store with the members vm-a, vm-b and vm-c
    And records of its members
    When another writer leaves a member vm-b with <odd>
    And the members are listed again
    Then only vm-a and vm-c are members
    And no member is taken for removed, and vm-a and vm-c are members
    When vm-b is written as it should be
    And the members are listed again
    Then vm-b is a member as it was written

    Examples:
      | odd |
      | an unknown field nested 5000 levels |
      | an unknown field nested 100 levels |
      | port 70000 |
      | port 0 |
      | port -1 |
      | a port beyond 64 bits |
      | a host with a NUL |
      | a long label as host |
      | a name as host |
      | no host |
      | slots beyond 64 bits |
      | slots beyond a float |
      | slots beyond any upstream |
      | negative slots |
      | a pace of 1e300 |
      | a negative pace |
      | a start beyond 64 bits |
      | a negative start |
      | an endless instance |
      | an instance with a line break |
      | an instance that is not ASCII |
      | an endless zone |
      | an endless service |

  Scenario Outline: A table with <odd> replaces none, and a later one is applied
    Given records with a table, and three consecutive deltas
    When the store returns a table with <odd>
    Then the records still hold the first table
    When the store returns the table after two changes
    Then the records hold the table after the second change

    Examples:
      | odd |
      | an unknown field nested 5000 levels |
      | an unknown field nested 100 levels |
      | a highest token beyond 64 bits |
      | the highest token that 64 bits hold |
      | a token above its highest |
      | a negative highest token |
      | a token beyond 64 bits |
      | a negative token |
      | a first key beyond 64 bits |
      | an owner beyond 64 bits |
      | an era beyond 64 bits |
      | a suspicion beyond 64 bits |

  Scenario: Processes outlast odd members, and follow one that joins under a name among them
    Given a deployment of 2 VMs
    When another writer leaves members that are odd in every way, also vm-a and vm-c
    And the VM vm-c joins
    Then vm-a, vm-b and vm-c follow the members vm-a, vm-b and vm-c
    And keys reach the upstream of vm-c within 4 seconds
    And no task of a process has failed
    When the operator moves the route to /b/
    Then vm-a serves /b/ and no longer /a/ within 2 seconds
    And vm-c serves /b/ and no longer /a/ within 2 seconds

  Scenario: Odd objects are counted and logged by kind and name, but not again and again
    Given a store with the members vm-a, vm-b and vm-c
    And records of its members
    When another writer leaves an object vm-b with a revision beyond 64 bits
    And another writer leaves a member vm-c with port 70000
    And the members are listed 10 times
    Then 2 rejected objects are counted, and logged with kind, name and reason
    When another writer leaves 200 objects with a revision beyond 64 bits
    And the members are listed 10 times
    Then 202 rejected objects are counted, and 20 are logged

  Scenario Outline: A configuration with <odd> leaves the former one in force
    Given records that hold version 7 of the configuration
    When another writer leaves version 8 of the configuration with <odd>
    Then version 7 stays in force
    When a valid version 9 of the configuration follows
    Then version 9 is in force

    Examples:
      | odd |
      | a route nested 5000 levels |
      | a route nested 100 levels |
      | an unknown resource nested 5000 levels |
      | a time-out of 1e300 |
      | a time-out beyond a float |
      | a negative time-out |
      | a priority beyond a float |
      | attempts beyond 64 bits |
      | a weight of 1e300 |
      | a negative weight |
      | an endless host |
      | a health path that is not ASCII |
      | a health path with a line break |
      | connections beyond a float |
      | a cold rate of 1e300 |
      | a negative cold period |
      | a body limit beyond 64 bits |
      | a negative idle time-out |
      | a version beyond 64 bits |
      | a negative version |
      | nothing but a number |

  Scenario: Processes outlast odd configurations and follow the next one
    Given a deployment of 2 VMs
    When another writer leaves configurations that are odd in every way
    And the operator moves the route to /b/
    Then vm-a serves /b/ and no longer /a/ within 2 seconds
    And vm-b serves /b/ and no longer /a/ within 2 seconds
    And no task of a process has failed

  Scenario: A watch that fails unexpectedly is started again
    Given a deployment of 1 VM
    When the watch of the configuration fails 2 times at vm-a
    And the operator moves the route to /b/
    Then vm-a serves /b/ and no longer /a/ within 2 seconds
    And vm-a has counted 2 failures of watch-config, and goes on

  Scenario: A link whose task fails unexpectedly is opened again
    Given a deployment of 2 VMs
    When the monitoring of links fails 2 times at vm-a, and its link to vm-b is cut
    Then vm-a reaches vm-b within 3 seconds, also after another cut
    And vm-a has counted 2 failures of peer-link, and goes on

  Scenario: Key ranges are managed on after an unexpected error
    Given a deployment of 3 VMs
    When the step of the key ranges fails 3 times at vm-a
    And the upstream of vm-b crashes
    Then all keys are served again within 4 seconds
    And vm-a has counted 3 failures of ownership, and goes on

  Scenario: An error in the middle of a hand-over ends the process
    Given a deployment of 2 VMs
    When a release of vm-a fails unexpectedly as its upstream drains
    Then vm-a has counted 1 failures of hand-over, and ends

  Scenario Outline: An answer that states <load> as its load is passed on
    Given a deployment of 1 VM
    When the upstream of vm-a states <load> as its load
    Then 12 requests to vm-a are answered within 2 seconds
    And the load of vm-a is finite

    Examples:
      | load               |
      | 0,0,8,1e999        |
      | 400 digits         |
      | 5000 digits        |
      | 0,0,8,-100         |
      | 0,0,8,100000000000 |
      | -1,-1,-1,100       |
      | nothing            |

  Scenario: A request whose run fails unexpectedly gets an outcome at once
    Given a deployment of 1 VM
    When the client of the upstream fails 1 times at vm-a
    Then a request to vm-a ends with 502 within 1 seconds
    And 12 requests to vm-a are answered within 2 seconds
    And vm-a has counted 1 failures of dispatch, and goes on

  Scenario: A request whose run at a peer fails unexpectedly gets an outcome at once
    Given a deployment of 2 VMs
    When the guard fails 1 times at vm-b
    Then an order at vm-a for a key of vm-b ends with 502 within 1 seconds
    And vm-b has counted 1 failures of peer-request, and goes on

  Scenario Outline: A caller that states <time left> as its time left gets <status>
    Given a deployment of 1 VM
    When a caller of vm-a states <time left> as its time left
    Then it gets the status <status>

    Examples:
      | time left   | status |
      | 400 digits  | 200    |
      | 30 digits   | 200    |
      | -400 digits | 503    |
      | -1          | 503    |
      | 0           | 503    |
      | 1500.5      | 200    |
      | 1500.       | 400    |
      | 5000 digits | 400    |
      | 1e3         | 400    |
      | nan         | 400    |

  Scenario Outline: A heartbeat with <odd> is rejected, and the next one counts
    Given a deployment of 1 VM
    When a heartbeat of the upstream of vm-a has <odd>
    Then it is answered with 400
    And 12 requests to vm-a are answered within 2 seconds
    And no task of a process has failed
    And vm-a knows its upstream as it is

    Examples:
      | odd                                  |
      | an unknown field nested 5000 levels  |
      | an unknown field nested 100 levels   |
      | slots beyond a float                 |
      | slots beyond 64 bits                 |
      | negative slots                       |
      | a sequence number beyond 64 bits     |
      | a start beyond 64 bits               |
      | a negative start                     |
      | a cold time of 1e300                 |
      | a port beyond 64 bits                |
      | a token beyond 64 bits               |
      | an endless instance                  |

  Scenario Outline: A departure with <odd> is rejected
    Given a deployment of 1 VM
    When a departure of the upstream of vm-a has <odd>
    Then it is answered with 400
    And 12 requests to vm-a are answered within 2 seconds

    Examples:
      | odd                                  |
      | an unknown field nested 5000 levels  |
      | a start beyond 64 bits               |

  Scenario Outline: Settings with <setting> = <value> raise a coded error
    Given the settings file from the platform's documentation
    When the line of <setting> says <value>
    Then reading it fails with the code <code>

    Examples:
      | setting        | value                | code                |
      | app_addr       | "10.1.0.35:70000"    | settings-wrong      |
      | app_addr       | "10.1.0.35:0"        | settings-wrong      |
      | app_addr       | "10.1.0.35:-1"       | settings-wrong      |
      | app_addr       | ":8147"              | settings-wrong      |
      | app_addr       | 8147                 | settings-wrong      |
      | internal_ports | [inf, inf]           | settings-wrong      |
      | internal_ports | [70000, 70001]       | settings-wrong      |
      | internal_ports | [65535, 65540]       | settings-wrong      |
      | heartbeat_ms   | inf                  | settings-wrong      |
      | heartbeat_ms   | nan                  | settings-wrong      |
      | heartbeat_ms   | 0                    | settings-wrong      |
      | heartbeat_ms   | -870                 | settings-wrong      |
      | bounds         | ["drain_ms=nan"]     | settings-wrong      |
      | bounds         | ["grace_s=inf"]      | settings-wrong      |
      | bounds         | ["max_hold_ms=-1"]   | settings-wrong      |
      | bounds         | [7]                  | settings-wrong      |
      | addr           | 7                    | settings-wrong      |
      | outbound       | "10.1.0.35:99999"    | settings-wrong      |
      | ip             | 7                    | settings-wrong      |
      | service        | "bl\u00e5tt"         | settings-wrong      |
      | service        | "two words"          | settings-wrong      |
      | zone           | 7                    | settings-wrong      |
      | node_name      | arrays of 5000 levels | settings-unreadable |

  Scenario: A stranger's frame that is nested too deeply is rejected as malformed
    Given a process that listens for peers
    When a stranger sends a frame nested 3000 levels
    Then its connection is closed, and logged as peer_frame_malformed

  Scenario: A peer's message that can't be handled does not cut the link
    Given a deployment of 2 VMs
    When vm-b sends vm-a a message whose handler fails, and then a change of a zone
    Then vm-a has applied the change of the zone over the same link
    And vm-a has counted 1 failures of peer-message, and goes on

  Scenario: A member that names the address of a healthy one does not take its place
    Given a deployment of 3 VMs
    When another writer leaves a member that names the address of vm-b
    Then all processes follow the members vm-a, vm-b and vm-c within 4 seconds
    And vm-b still holds its keys, and all keys are served
    And no key was ever held by two upstreams
    When another writer leaves it once more
    Then all processes follow the members vm-a, vm-b and vm-c within 8 seconds
    And vm-b still holds its keys, and all keys are served
    And no key was ever held by two upstreams

  Scenario: Whatever a faulty writer leaves, the others are followed, and a repaired one
    Then each generated odd object of each kind harms no other, and its repair is followed
