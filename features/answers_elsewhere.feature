Feature: Answers at the daemon, its clients and its callers are their own and whole

  Scenario Outline: A late copy of an upstream's answer answers the daemon's next order
    Given an upstream of the daemon that repeats <answer> before it answers the next order
    When the guard serves two orders one after the other
    Then the second ends with its own answer or as unknown

    Examples:
      | answer                            |
      | its answer                        |
      | its refusal                       |
      | its answer that names no order    |
      | its refusal that names no order   |

  Scenario: A late copy of a refusal denies the daemon's order that is sent again
    Given an upstream of the daemon that repeats a refusal while the order runs
    When the guard serves the order twice, one after the other
    Then the second attempt ends with the order's own answer

  Scenario: Orders of an upstream that names them share a connection
    Given an upstream of the daemon that names each order in its answer
    When the guard serves two orders one after the other
    Then both end with their own answers over one connection

  Scenario: Closed connections to an upstream that names no order count as free
    Given an upstream of the daemon that names no order in its answers
    When the guard serves two orders one after the other
    Then both end with their own answers over two connections
    And the guard counts no free connection

  Scenario Outline: A late copy of another call's answer is taken for a write's acknowledgement
    Given a store that repeats its answer to a <call>, and names <named> in its answers
    When the <call> is answered and an object is written that another writer has changed
    Then the write is a conflict

    Examples:
      | call  | named    |
      | write | no call  |
      | read  | no call  |
      | write | the call |
      | read  | the call |

  Scenario: A late copy of an object's answer is taken for another object
    Given a store that repeats its answer before it answers the next read
    When two objects are read one after the other
    Then each read returns its own object

  Scenario: Calls of a store that names them share a connection
    Given a store that names the call in its answers
    When two objects are read one after the other
    Then each read returns its own object
    And both calls went over one connection

  Scenario: A late copy of the answer about health is taken for the load
    Given a busy upstream of the daemon that repeats its answer about its health
    When its health and load are polled
    Then its load is reported

  Scenario: The answer to a rejected order is returned for another order with its id
    Given an upstream of the daemon that returns what it is sent
    When an order with the id of one that has just been rejected reaches the guard
    Then it ends with the answer to its own content

  Scenario: A stored answer is returned for a large answer to another request with its id
    Given an upstream of the daemon that answers an order and then at length
    When two callers send a lookup with the id of an order that was answered
    Then neither receives the answer to the order

  Scenario: A large answer that is cancelled midway keeps its caller waiting for ever
    Given an upstream of the daemon that stops midway in a large answer
    When a lookup's deadline passes while its answer is passed on
    Then its answer breaks off

  Scenario Outline: An answer that breaks off midway looks whole to its caller
    Given a server whose handler fails midway in <answer>
    When a caller that speaks <version> reads the answer
    Then the caller sees that it is not whole

    Examples:
      | answer                     | version  |
      | an answer without a length | HTTP/1.0 |
      | an answer without a length | HTTP/1.1 |
      | an answer with a length    | HTTP/1.0 |
      | an answer with a length    | HTTP/1.1 |

  Scenario Outline: The answer to <request> has a body or a length that is not its own
    Given a server whose handler gives <answer>
    When a caller sends <request> and another request on the same connection
    Then the caller reads <read>, and then the answer to the other request

    Examples:
      | request              | answer                   | read                     |
      | HEAD                 | a body                   | a head with its length   |
      | HEAD                 | a streamed body          | a head without a body    |
      | GET                  | 204 with a length        | a head without a length  |
      | GET                  | 304 with a length        | a head with its length   |

  Scenario: A rejected HEAD request closes the connection without an answer
    Given a server that limits the bodies of requests
    When a caller sends HEAD with a longer body
    Then the caller reads a rejection without a body

  Scenario Outline: An answer that is cut at the daemon's upstream ends an order as answered
    Given an upstream of the daemon that stops its answer <where> and closes
    When the guard serves an order
    Then it ends as unknown

    Examples:
      | where                    |
      | in the status line       |
      | in the name of a header  |
      | in the length            |
      | before the last line end |
      | in the body              |

  Scenario: A refusal without an id ends the answer of the daemon's upstream to an order
    Given an upstream of the daemon that breaks its answer off and then writes a refusal
    When the guard serves an order
    Then it ends as unknown

  Scenario Outline: An answer that is cut at an upstream reaches a platform's caller as whole
    Given a deployment of 2 VMs whose upstreams stop each first answer <where> and close
    When callers at both VMs send orders and lookups for keys of both
    Then each order ends with 502, and each lookup with 502 or its own whole answer

    Examples:
      | where                    |
      | in the status line       |
      | in the name of a header  |
      | in the length            |
      | before the last line end |
      | in the body              |

  Scenario Outline: After an early answer other bytes follow where the rest of a body is due
    Given an upstream that answers before it has read a long body, and reads on later
    When a request with a body <sent> and another one are sent
    Then the upstream receives the rest of the body or the end of the connection

    Examples:
      | sent                   |
      | in memory              |
      | in pieces              |
      | held back for a 100    |

  Scenario: A response of the platform's process names another request than the caller's
    Given a platform's caller whose request id is not ASCII
    When the process rejects its request
    Then the response names the id as the caller sent it

  Scenario: A peer's late reply answers a later request
    Given a peer that replies to a request after it was given up
    When a process has two requests run by the peer, and gives the first up
    Then the second ends with its own answer from the peer

  Scenario: A reply to a request of a lost link answers a request on the next link
    Given a peer that closes the link, and replies on the next one
    When a process has two requests run by the peer over both links
    Then the first ends as unknown
    And the second ends with its own answer from the peer

  Scenario: A peer's late reply to a call of the store answers a later call
    Given a peer that replies to a relayed call after it was given up
    When a process relays two calls of the store, and gives the first up
    Then the second call ends with its own reply

  Scenario Outline: A late copy of an entry's <answer> answers the caller's next request
    Given an entry that repeats its <answer>, and names <named> in its answers
    When the caller library sends two requests one after the other
    Then the second outcome is its own answer or unknown

    Examples:
      | answer    | named       |
      | answer    | no request  |
      | rejection | no request  |
      | answer    | the request |
      | rejection | the request |

  Scenario Outline: A Connection header hides what makes an answer the upstream's own
    Given an upstream whose <answer> names <header> in its Connection header
    When one request is sent
    Then the result of the request is <end>

    Examples:
      | answer  | header             | end                   |
      | success | response-signature | a failure             |
      | success | request-id         | a failure             |
      | success | content-length     | its own whole answer  |
      | refusal | not-executed       | a failure             |

  Scenario: A late copy of a process's status is shown for the next key
    Given a process of the daemon that repeats its answer about a key
    When the operators' command line asks about two keys
    Then it shows the status of each key

  Scenario Outline: A malformed answer of the daemon's upstream counts as its crash
    Given an upstream of the daemon whose answer <fault>
    When the guard serves an order
    Then it ends as unknown, <code>, with <number> crash suspects

    Examples:
      | fault                       | code             | number |
      | has two lengths             | connection-lost  | 0      |
      | is no HTTP                  | connection-lost  | 0      |
      | repeats itself to its end   | connection-lost  | 0      |
      | breaks off in its body      | upstream-crashed | 1      |
      | breaks off in its head      | upstream-crashed | 1      |
