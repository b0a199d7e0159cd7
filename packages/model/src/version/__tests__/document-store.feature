Feature: The store of documents

  Scenario: A lost answer counts although another operator has replaced the document
    Given a table with the document of "paysheet" by "roisin"
    When "aoife" accepts a document, its answer is lost, and "saran" replaces it before the table is read back
    Then the document of "aoife" is accepted as version 2
    And the document of "saran" is in force as version 3

  Scenario: An operator who was second gets a conflict and changes nothing
    Given a table with the document of "paysheet" by "roisin"
    When "aoife" accepts a document that was made from version 0
    Then the accept fails with "document-conflict"
    And the document of "roisin" is in force as version 1

  Scenario: A write whose result stays unknown is said to be unknown
    Given a table with the document of "paysheet" by "roisin"
    When "aoife" accepts a document, its answer is lost, and the platform goes down
    Then the accept fails with "platform-unavailable" and says "does not tell whether it is accepted"

  Scenario: The history is read beyond one page
    Given a table with 450 accepted documents of "paysheet"
    Then the history of "paysheet" has versions 1 to 450 in order

  Scenario: An endpoint address that two services name is found
    Given a table with the document of "paysheet" by "roisin"
    Then a document of "rerate" with the same endpoint shares "10.1.0.1:8080" with "paysheet"

  Scenario: A reader that is a little behind reads only what changed
    Given a table with 100 services
    And a reader of the catalogue
    When the documents of "service-7, service-9, service-7" are accepted again
    Then the reader gets "service-7, service-9" up to version 103 in 3 reads

  Scenario: A reader that is far behind reads everything
    Given a table with 100 services
    And a reader of the catalogue
    When the documents of 60 services are accepted again
    Then the reader gets 100 documents up to version 160

  Scenario: A change without a row makes the reader read everything
    Given a table with 10 services
    And a reader of the catalogue
    When the documents of "service-7, service-9" are accepted again
    And the row of the change 11 is missing
    Then the reader gets 10 documents up to version 12

  Scenario: A stale document leaves the catalogue before its change
    Given a table with 10 services
    And a reader of the catalogue
    When the documents of "service-7, service-9, service-8" are accepted again
    But the document of "service-9" is read as it was
    Then the reader gets "service-7, service-8, service-9" up to version 11 in 3 reads

  Scenario: The table keeps the rows of a thousand changes
    Given a table with 1010 accepted documents of "paysheet"
    Then the table has the rows of the changes 11 to 1010
