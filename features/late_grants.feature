Feature: A grant is not sent on what was true some time ago

  Scenario Outline: The lines on granted keys name the table and the lease that they rest on
    Given a deployment of 3 <VMs>
    When vm-b drains while the log is recorded
    Then each line "<line>" names the later table, from whom it came and a lease

    Examples:
      | VMs                                   | line         |
      | VMs                                   | keys_granted |
      | VMs whose heartbeats carry the grants | keys_stated  |

  Scenario Outline: A process that stands still between a decision and its grant grants beyond its lease
    Given an upstream that takes grants
    When keys are to be granted with <left> s left of the lease, and the process stands still for <pause> s <moment>
    Then the upstream holds the keys until the end of the lease at the latest
    And the process uses them until then at the latest

    Examples:
      | left | pause | moment                           |
      | 1.5  | 0.8   | before the call                  |
      | 1.0  | 0.8   | before the call                  |
      | 1.0  | 1.3   | before the call                  |
      | 1.0  | 0.35  | while the connection is opened   |
      | 0.5  | 0.35  | while the connection is opened   |

  Scenario: A process that stands still between a decision and the answer to a heartbeat states too long a hold
    Given a process whose upstream is to hold keys, with 1.5 s left of its lease
    When it stands still for 0.8 s, and then answers a heartbeat
    Then the hold that it states ends with the lease at the latest

  Scenario: A grant is sent for a range that was given away while its connection was opened
    Given an upstream that takes grants
    When keys are to be granted, and another owner gets them while the connection is opened
    Then the upstream takes no keys, and a withheld grant is counted

  Scenario Outline: A grant meant for an upstream that has ended is taken by the next one at its address
    Given an upstream that ends after it has announced itself
    When its keys are to be granted, and <seconds> s later the next one listens there under <id>
    Then the next one takes no keys within 1 s, as long as it has not announced itself

    Examples:
      | seconds | id          |
      | 0       | another id  |
      | 0.3     | another id  |
      | 0.3     | the same id |

  Scenario: An upstream that listens after its announcement gets its keys after the next one
    Given an upstream that ends after it has announced itself
    When its keys are to be granted, and 0.3 s later the next one listens there under the same id
    Then the next one takes its keys once an announcement has arrived

  Scenario: A refusal that a former upstream caused holds back the grants of its successor
    Given an upstream whose connection takes 0.3 s to be refused
    When its successor announces itself meanwhile
    Then the successor is granted its keys after the refusal without a further announcement

  Scenario Outline: A grant of the former process takes effect after its keys were handed over
    Given a deployment of 3 VMs
    When grants to the upstream of vm-b take effect <late> s late, the process beside it restarts, and its upstream <then>
    Then all keys are served by others within <limit> seconds
    And no key was ever held by two upstreams
    And no upstream took a key under a token below that of another

    Examples:
      | late | then                        | limit |
      | 2.5  | drains                      | 2     |
      | 4.5  | drains                      | 2     |
      | 4.5  | drained before              | 2     |
      | 4.5  | drains and answers no grant | 9     |

  Scenario: Keys wait for the end of an unanswered grant before they are handed over
    Given a deployment of 3 VMs
    When grants to the upstream of vm-b take effect 4.5 s late for a while, and its upstream drains
    Then all keys are served by others within 2 seconds
    And no key was ever held by two upstreams
    And no upstream took a key under a token below that of another

  Scenario Outline: A grant that gets no answer is in flight as its keys are handed over
    Given a deployment of 3 VMs
    When grants to the upstream of vm-b take effect 4.5 s late for a while, and its upstream drains <pause> s after the first
    Then all keys are served by others within 2 seconds
    And no key was ever held by two upstreams
    And no upstream took a key under a token below that of another

    Examples:
      | pause |
      | 0     |
      | 0.1   |
      | 0.6   |
