Feature: Connection management of the stream to a peer

  Scenario: A heartbeat from a peer triggers a connection attempt without waiting for the retry pause
    Given a stream to an address where nothing listens, with a pause of 5000 ms between connection attempts
    When the peer starts after 300 ms and its heartbeat arrives
    Then the stream is connected within 1000 ms

  Scenario: A connection that is reset is replaced, even if the old one never closes
    Given a stream to an address where nothing listens, with a pause of 200 ms between connection attempts
    When the peer starts after 100 ms and its heartbeat arrives
    Then the stream is connected within 1000 ms
    When the connection is reset
    Then the stream is reconnected within 1000 ms

  Scenario: A longer heartbeat interval applies only after the next heartbeat, because the peer expects that one within the shorter interval
    Given a stream to an address where nothing listens, with a pause of 200 ms between connection attempts
    And its heartbeat interval is 100 ms at first, and 5000 ms after the first heartbeat
    When the peer starts after 100 ms and its heartbeat arrives
    Then the stream is connected within 1000 ms
    And 2 heartbeats arrive within 1000 ms, and no third within 500 ms
    And as many frames were observed at the sender as at the receiver

  Scenario: A stream that is closed during the retry pause ends at once
    Given a stream to an address where nothing listens, with a pause of 5000 ms between connection attempts
    When the stream is closed after 300 ms
    Then its task ends within 500 ms

  Scenario: A connection attempt that is refused is reported at once, and one that is accepted is not
    Given a stream to an address where nothing listens, with a pause of 100 ms between connection attempts
    Then a refusal is reported within 300 ms
    When the peer starts after 100 ms and its heartbeat arrives
    Then the stream is connected within 1000 ms
    And no refusal is reported for 300 ms

  Scenario: A peer that does not read is cut off
    Given a stream to an address where nothing listens, with a pause of 100 ms between connection attempts
    When a peer that does not read starts
    Then the stream is connected within 1000 ms
    When 400 messages of 100000 characters are sent
    Then the connection is broken within 2000 ms, since the peer does not read

  Scenario: A stream whose messages were held up is ended, and the peer opens another
    Given a stream to an address where nothing listens, with a pause of 100 ms between connection attempts
    When the peer starts after 100 ms and its heartbeat arrives
    And a frame arrives on another connection, and one sent 10000 ms before it
    Then the other connection is ended within 500 ms, with the reason "held up"
    And the stream is connected within 1000 ms

  Scenario: A stream is ended after the receiver was suspended, which its steady clock does not show
    Given a stream to an address where nothing listens, with a pause of 100 ms between connection attempts
    When the peer starts after 100 ms and its heartbeat arrives
    And a frame arrives on another connection, and one sent 100 ms later in whose time the receiver was suspended for 3000 ms
    Then the other connection is ended within 500 ms, with the reason "held up"
    And the stream is reconnected within 1000 ms

  Scenario: What is no stream of frames is ended, and streams of peers go on
    Given a stream to an address where nothing listens, with a pause of 100 ms between connection attempts
    When the peer starts after 100 ms and its heartbeat arrives
    Then the stream is connected within 1000 ms
    When the text "PRI * HTTP/2.0 and more" arrives on another connection
    Then the other connection is ended within 500 ms, with the reason "no frame"
    And 2 more heartbeats arrive within 1000 ms

  Scenario: While other messages are sent, they show that the sender is alive, and heartbeats are few
    Given a stream to an address where nothing listens, with a pause of 100 ms between connection attempts
    And its heartbeat interval is 200 ms at first, and 200 ms after the first heartbeat
    When the peer starts after 100 ms and its heartbeat arrives
    Then the stream is connected within 1000 ms
    When 20 messages are sent, one each 100 ms
    Then at most 5 heartbeats and at least 15 other frames have arrived
