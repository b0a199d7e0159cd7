Feature: Heartbeats on a stream are encoded as deltas

  Scenario: The receiver restores every complete heartbeat from the deltas
    Then any sequence of heartbeats is decoded to the heartbeats that were sent

  Scenario: An unchanged heartbeat is small
    Given a heartbeat with 100 services
    When it is sent twice on a stream
    Then the second message takes at most 4 bytes

  Scenario: A stream that begins with a delta is rejected
    When a stream begins with a delta message
    Then the reader throws a fault of kind "malformed-request"
