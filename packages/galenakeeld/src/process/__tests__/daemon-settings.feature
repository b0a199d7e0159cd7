Feature: Settings of a daemon

  Scenario Outline: The example configuration of each user is valid
    Then the settings "examples/<user>/galenakeeld.jsonc" are valid for a zone of "<region>"
    And the document "examples/<user>/<service>.jsonc" has <zones> zones and 30 endpoints of 8 slots and 64 connections

    Examples:
      | user          | region      | service   | zones |
      | bainne        | ie-south    | paysheet  | 4     |
      | tsagaan-gerel | ulaanbaatar | quote-svc | 3     |

  Scenario: All faults are reported together, each with its position and a remedy
    When settings are read from:
      """
      {
        "instance": "entry-1",
        "zome": "zone-a",
        "weight": 0,
        "listen": {
          "callers": "10.1.0.1:8000",
          "peers": "10.1.0.1:8000",
          "operators": "10.1.0.1:8002"
        },
        "platform": {"address": "platform.example", "pollMilliseconds": "500"},
        "drain": {"announceMilliseconds": 3000, "limitMilliseconds": 2000},
        "endpoints": {"maximumIdleMilliseconds": 90000},
        "limits": {"bufferedBodyBytes": 2000, "requestBytes": 1000},
        "placement": {"policy": "guess"}
      }
      """
    Then exactly these faults are reported:
      """
      line 1, column 1: zone: is missing; add "zone" with text in double quotes
      line 3, column 3: zome: is not known here; did you mean "zone"?
      line 4, column 13: weight: must be above 0, but is the number 0
      line 7, column 14: listen.peers: has port 8000, which "callers" has too; give each its own port
      line 10, column 27: platform.address: must be an IP number and a port, as in "10.1.2.3:8080"
      line 10, column 67: platform.pollMilliseconds: must be a number, but is the text "500"
      line 11, column 64: drain.limitMilliseconds: must be above announceMilliseconds, which is 3000; otherwise requests would be cut before the balancer has noticed
      line 12, column 44: endpoints.maximumIdleMilliseconds: must be at most maximumAgeMilliseconds, which is 60000; lower it, or raise maximumAgeMilliseconds
      line 13, column 35: limits.bufferedBodyBytes: must be at most requestBytes, which is 1000; lower it, or raise requestBytes
      """
    And a fault names the policies that "placement.policy" may have

  Scenario Outline: An address is an IP number and a port
    Then the address "<address>" is <verdict>

    Examples:
      | address              | verdict |
      | 10.1.2.3:8080        | valid   |
      | [fd00::1]:8080       | valid   |
      | 300.1.2.3:8080       | faulty  |
      | 10.1.2.3:70000       | faulty  |
      | 10.1.2.3:0           | faulty  |
      | 10.1.2.3             | faulty  |
      | platform.example:80  | faulty  |

  Scenario: A syntax error is reported with its position and an explanation
    When settings are read from:
      """
      {
        "instance": entry-1
        "zone": "zone-a"
      }
      """
    Then a fault at line 2, column 15 says "a word stands here without double quotes"

  Scenario Outline: The daemon checks a settings file and prints the result
    When the daemon checks the settings file "<file>"
    Then the check ends with code <code> and prints '<text>'

    Examples:
      | file                                    | code | text                                                |
      | examples/bainne/galenakeeld.jsonc       | 0    | examples/bainne/galenakeeld.jsonc is valid          |
      | examples/bainne/paysheet.jsonc          | 2    | zone: is missing; add "zone"                        |
      | examples/nowhere.jsonc                  | 2    | examples/nowhere.jsonc can\'t be read               |
