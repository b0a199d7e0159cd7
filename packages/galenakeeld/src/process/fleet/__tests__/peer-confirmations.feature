Feature: A daemon knows which of its frames a peer has received

  Background:
    Given a daemon that has run for 5000 ms, and a peer

  Scenario: A frame that confirms nothing tells nothing, however fresh it is
    When a frame of the peer arrives that confirms nothing
    Then nothing is confirmed

  Scenario: A frame confirms what the peer had received, not when it arrives
    When a frame of the peer arrives that confirms the frame of 4000 ms
    Then the frame of 4000 ms is the last that is confirmed
    When a frame of the peer arrives that confirms the frame of 3500 ms
    Then the frame of 4000 ms is the last that is confirmed

  Scenario: A frame that this daemon can't have sent is not confirmed
    When a frame of the peer arrives that confirms the frame of 6000 ms
    Then nothing is confirmed
    When a frame of the peer arrives that confirms a frame of this daemon's earlier life
    Then nothing is confirmed

  Scenario: A restarted peer has confirmed nothing, and what its earlier life sent is not confirmed to it
    When a frame of the peer arrives that confirms the frame of 4000 ms
    And the peer restarts, and a frame of it arrives that it sent at 10 ms
    Then nothing is confirmed
    When the turn ends
    And the next turn ends
    Then the frame of 10 ms is confirmed to the peer

  Scenario: What was confirmed before a suspension is not trusted after it
    When a frame of the peer arrives that confirms the frame of 4000 ms
    And the daemon is suspended for 3000 ms
    Then nothing is confirmed
    When a frame of the peer arrives that confirms the frame of 4900 ms
    Then nothing is confirmed
    When the daemon runs on for 100 ms
    And a frame of the peer arrives that confirms the frame of 5100 ms
    Then the frame of 5100 ms is the last that is confirmed

  Scenario: What the daemon knew of itself before a suspension is not trusted after it
    Then the daemon has confirmed its own turn of 5000 ms
    When the daemon is suspended for 3000 ms
    Then the daemon has confirmed nothing of its own
    When the daemon runs on for 100 ms
    And the daemon has read what arrived for it
    Then the daemon has confirmed its own turn of 5100 ms

  # Guards against TWICE: a slow daemon that holds and owns a job extended its runs by what had arrived unread during a long turn.
  Scenario: A long turn of the event loop confirms only what had arrived when it began
    When a turn of the event loop begins
    And the daemon runs on for 700 ms
    And the turn ends
    Then the daemon has confirmed its own turn of 5000 ms

  # Guards against TWICE: the event loop reads of a connection what arrives up to then, also during the turn, yet of others only what had arrived before; so a frame was confirmed although the end of a caller that had arrived before it was unread.
  Scenario: A frame is confirmed to its peer only once the turn after it has been read
    When a frame of the peer arrives that it sent at 20 ms
    And the turn ends
    And the next turn ends
    Then the frame of 20 ms is confirmed to the peer
    When a frame of the peer arrives that it sent at 30 ms
    Then the frame of 20 ms is confirmed to the peer
    When the turn ends
    Then the frame of 20 ms is confirmed to the peer
    When a frame of the peer arrives that it sent at 40 ms
    And the next turn ends
    Then the frame of 30 ms is confirmed to the peer
    When the turn ends
    Then the frame of 40 ms is confirmed to the peer

  Scenario: What a peer may start for this daemon's jobs counts from when its last confirmed frame was processed
    Then nothing was confirmed to the peer
    When a frame of the peer arrives that it sent at 20 ms
    And the turn ends
    Then nothing was confirmed to the peer
    When the daemon runs on for 100 ms
    And the next turn ends
    Then the last frame that was confirmed to the peer was processed at 5000 ms
    When a frame of the peer arrives that it sent at 10 ms
    And the turn ends
    And the next turn ends
    Then the last frame that was confirmed to the peer was processed at 5000 ms

  # Guards against TWICE: a peer ends and starts again at its address, and what its earlier life has started goes on.
  Scenario: What an earlier life of a peer may have started counts after its restart
    When a frame of the peer arrives that it sent at 20 ms
    And the turn ends
    And the next turn ends
    And the daemon runs on for 100 ms
    And the peer restarts, and a frame of it arrives that it sent at 10 ms
    Then the last frame that was confirmed to the peer was processed at 5000 ms
    When the turn ends
    And the next turn ends
    Then the last frame that was confirmed to the peer was processed at 5100 ms

  Scenario: What this daemon may start for its own jobs counts from what it has read
    When the daemon runs on for 100 ms
    And the daemon has read what arrived for it
    Then the daemon has confirmed up to 5100 ms to itself

  Scenario: A request is not repeated while its answer may be on its way, and a frame that was sent before it answers nothing
    When a confirmation is requested 2 times
    Then 1 request was sent
    When the daemon runs on for 50 ms
    And a frame of the peer arrives that confirms the frame of 4900 ms
    Then 0 requests were answered
    When a frame of the peer arrives that confirms the frame of 5001 ms
    Then 1 request was answered
    When a confirmation is requested 1 times
    Then 2 requests were sent
    When the daemon runs on for 150 ms
    And a confirmation is requested 1 times
    Then 3 requests were sent
