Feature: A stream to a peer that starts later

  Scenario: A peer that is heard is dialled at once, whatever the pause between dials
    Given a stream to an address where nothing listens, with a pause of 5000 ms between dials
    When the peer starts after 300 ms and is heard
    Then the stream is connected within 1000 ms

  Scenario: A connection that is given up is replaced, though the old one never closes
    Given a stream to an address where nothing listens, with a pause of 200 ms between dials
    When the peer starts after 100 ms and is heard
    Then the stream is connected within 1000 ms
    When the connection is given up
    Then the stream is connected anew within 1000 ms

  Scenario: A pace that becomes slower holds from the next beat on, as the last one has promised it
    Given a stream to an address where nothing listens, with a pause of 200 ms between dials
    And its beats come each 100 ms for the first, and each 5000 ms from then on
    When the peer starts after 100 ms and is heard
    Then the stream is connected within 1000 ms
    And 2 beats arrive within 1000 ms, and no third within 500 ms

  Scenario: A stream that is closed in its pause ends at once
    Given a stream to an address where nothing listens, with a pause of 5000 ms between dials
    When the stream is closed after 300 ms
    Then its task ends within 500 ms
