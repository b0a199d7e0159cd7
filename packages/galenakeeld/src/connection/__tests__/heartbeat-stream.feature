Feature: Heartbeats leave out what the stream has already said

  Scenario: Whatever is left out, the peer hears every heartbeat whole
    Then any sequence of heartbeats is heard as it was meant

  Scenario: An unchanged heartbeat is small
    Given a heartbeat with 100 services
    When it is sent twice on a stream
    Then the second message takes at most 4 bytes

  Scenario: A stream that begins with a partial heartbeat is refused
    When a stream begins with a message that continues
    Then the reader throws a fault of kind "malformed-request"
