Feature: Which runs are charged with the end of an upstream, and how suspects run

  Scenario Outline: An upstream closes the connection of a run
    Given a guard whose upstream closes the connection of a run
    When <what shows then>
    Then the run is <charged> with a crash
    And the upstream is <state>

    Examples:
      | what shows then                                     | charged     | state                |
      | the upstream refuses a new connection               | charged     | gone                 |
      | the upstream accepts no connection in time          | charged     | gone, and may hold   |
      | it accepts none in time but announces itself        | not charged | in use               |
      | it accepts a connection and answers the next run    | not charged | in use               |
      | it accepts a connection, and its successor comes    | charged     | in use               |
      | its successor has come before the run is lost       | charged     | in use               |
      | it was leaving, and refuses a new connection        | not charged | gone                 |
      | it was leaving, and ended before the run is lost    | not charged | gone                 |
      | the caller leaves before the upstream is gone       | charged     | gone                 |

  Scenario: A run that the upstream survived is charged with its later end
    Given a guard whose upstream closes the connection of a run
    When it accepts a connection and answers the next run
    And the upstream ends later
    Then the run is not charged with a crash

  Scenario: Suspects run beside each other at an upstream
    Given a guard that runs a suspect, at which another suspect arrives
    When the first one is answered
    Then the second one was sent only after that

  Scenario: A suspect that waits for its turn keeps the turn of those that follow
    Given a guard that runs a suspect, at which another suspect arrives
    When the caller of the second one leaves, and a third one arrives
    And the first one is answered
    Then the third one is sent

  Scenario: A suspect that waits is sent although it was blocked meanwhile
    Given a guard that runs a suspect, at which another suspect arrives
    When a peer blocks the second one
    And the first one is answered
    Then the second one is rejected as not run

  Scenario: A suspect that was blocked while it waited for its turn is queued
    Given a guard with a full queue, in which a suspect runs and another waits its turn
    When a peer blocks the second one
    And the first one is answered
    Then the second one is rejected at once

  Scenario: A request that waits in the queue is sent although it was blocked meanwhile
    Given a guard with a full queue, in which a request waits
    When a peer blocks the request
    And the running requests are answered
    Then the request is rejected as not run
    And one rejection is counted
    And no slot is in use

  Scenario: A request that was not sent in time is sent although its turn came late
    Given a guard that runs a suspect, at which another suspect arrives
    When the first one is not answered for 2 seconds
    Then the second one is rejected with a time after which to retry

  Scenario: Processes of a large service send a suspect to different upstreams
    Given ten entries in three zones that know 60 upstreams and a suspect
    When each of them chooses the upstream of the suspect, and again after one is tried
    Then all of them choose the same upstream, and then the same other one

  Scenario Outline: A request of which some crash their upstream and the others succeed
    Given 20 guards, whose upstreams one in <so many> copies of a request crashes
    When 400 copies come to each, beside a harmless request that comes as often
    Then each guard sees at most <ended> crashes and blocks the request
    And the harmless request is never blocked, and is clear at the end

    Examples:
      | so many | ended |
      | 1       | 3     |
      | 4       | 8     |
      | 8       | 9     |

  Scenario Outline: A harmless request is blocked as upstreams end for other reasons
    Given 30 simulated fleets in which an upstream ends every <pause> seconds
    When a harmless request of <work> seconds comes often for 300 seconds
    Then it is blocked in none of them

    Examples:
      | pause | work |
      | 10    | 0.03 |
      | 50    | 0.3  |

  Scenario: A run that was sent before its request was a suspect is answered
    Given a guard that runs a request, which a peer makes a suspect then
    When the first one is answered
    Then the suspect still runs in its turn

  Scenario: A peer of an earlier version clears a suspect, and is told of a clearance
    Given a guard that is sent suspects without crashes, three times
    When a peer of an earlier version clears the suspect
    Then the suspect is clear
    And a peer of an earlier version reads a clearance with crashes

  Scenario: A peer of an earlier version sends suspects without the crashes
    Given a guard that is sent suspects without crashes, three times
    Then the suspect still runs in its turn

  Scenario: A process that has just started sends on what its peers have blocked
    Given a deployment of three VMs, two of which have blocked a request
    When the process of the third one starts again
    Then the third one rejects the request as well

  Scenario: The body of a request is hashed again at each step while suspects are known
    Given a deployment of three VMs, two of which have blocked a request
    When another request with a body is answered by the VM that it is sent to
    Then its body was hashed once by the entry and once by the guard
