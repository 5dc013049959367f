Feature: Each process monitors a few peers, and the others check what monitors report

  Scenario: In a small fleet every process monitors all others
    Given a fleet of 13 processes
    Then every process monitors 12 others

  Scenario Outline: In a large fleet the number of monitored peers is constant
    Given a fleet of <count> processes in 5 zones
    Then every process monitors 12 others
    And every process is monitored by 12 others
    And no loss of a zone leaves a process of another zone without a monitor

    Examples:
      | count |
      | 25    |
      | 195   |
      | 620   |
      | 1200  |

  Scenario: A peer that does not answer is closed by its monitor and then by the others
    Given links from a monitor and from another process to a peer
    When the peer stops answering for 4 seconds
    Then the monitor has found the peer unreachable
    And the other process has found the peer unreachable

  Scenario: A peer that accepts connections and answers nothing stays unreachable
    Given links from a monitor and from another process to a peer
    When the peer stops answering for 6 seconds
    Then both processes have found the peer unreachable for long enough to suspect it
    When the peer answers again for 2 seconds
    Then both processes have found the peer reachable

  Scenario: Without a report, a peer that is not monitored is pinged rarely
    Given links from another process alone to a peer that answers
    When 2 seconds pass for the links
    Then it has sent at most 2 pings

  Scenario: An answer brings the load of the peer that sent it
    Given a deployment of 2 VMs
    When vm-a pings vm-b rarely and a request of vm-a is answered by vm-b
    Then vm-a has the load that vm-b reported with the answer

  Scenario: A process that was paused does not take its peers for unresponsive
    Given links from a monitor to a peer that answers
    When the process of the monitor is paused for 2 seconds
    Then the monitor has found the peer reachable

  Scenario: A peer that answers nothing on any connection is not taken for a silent link
    Given links from another process alone to a peer that answers
    When a request waits on the link for 1.7 seconds, as the peer answers nothing
    Then the link is still open, and was tested over another connection
