#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bamboodock {

/// Bytes that a server sends in place of an answer, or as one.
struct SampleAnswer {
  std::string name;
  std::string bytes;
};

/// Whole answer that an endpoint of the tests' routes would give to request a1.
inline std::string SoundAnswer() {
  return "HTTP/1.1 200 OK\r\nX-Bamboodock-Attempt-Id: a1\r\nX-Bamboodock-Response-Stamp: s\r\n"
         "Content-Type: text/event-stream\r\nContent-Length: 20\r\n\r\nid: 1\ndata: answer\n\n";
}

/// The sound answer with further lines in its head, which end with their line end.
inline std::string SoundAnswerWith(const std::string& lines) {
  std::string answer = SoundAnswer();
  return answer.insert(answer.find("\r\n") + 2, lines);
}

/// A head without a length that is not the sound answer's, and a body in its own framing.
inline std::string AnswerFramedBy(const std::string& lines, const std::string& body,
                                  const std::string& version = "HTTP/1.1") {
  return version +
         " 200 OK\r\nX-Bamboodock-Attempt-Id: a1\r\nX-Bamboodock-Response-Stamp: s\r\n"
         "Content-Type: text/event-stream\r\n" +
         lines + "\r\n" + body;
}

/// Heads whose status is that of no answer, each followed by bytes that look like one.
inline std::vector<SampleAnswer> AnswersWithBrokenStatus() {
  std::vector<SampleAnswer> answers;
  for (const char* status : {"000", "001", "099", "101", "600", "999", "20", "2000", "+20", "-20",
                             "0x0", "2e2", "abc", ""}) {
    const std::string head = std::string("HTTP/1.1 ") + status + " X\r\n";
    answers.push_back({"status '" + std::string(status) + "'", head + "\r\n" + SoundAnswer()});
    const std::string sound = SoundAnswer();
    const std::string rest = sound.substr(sound.find("\r\n") + 2);
    answers.push_back({"sound answer with status '" + std::string(status) + "'", head + rest});
  }
  for (const char* version : {"HTTP/0.9", "HTTP/2.0", "HTTP/11.1", "HTTP/1", "http/1.1", "ICY"}) {
    const std::string head = std::string(version) + " 200 OK\r\n";
    answers.push_back({"version '" + std::string(version) + "'", head + "\r\n" + SoundAnswer()});
  }
  return answers;
}

/// Interim answers that announce content, which they cannot have (RFC 9112, section 6.3).
inline std::vector<SampleAnswer> InterimAnswersWithContent() {
  return {{"interim answer with a length",
           "HTTP/1.1 103 Early Hints\r\nContent-Length: 40\r\n\r\n" + SoundAnswer()},
          {"interim answer in chunks",
           "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + SoundAnswer()}};
}

/// Answers with a line in the head whose name is none, or whose value holds a control byte.
inline std::vector<SampleAnswer> AnswersWithBrokenFields() {
  using namespace std::string_literals;
  std::vector<SampleAnswer> answers;
  for (const std::string& line :
       {"X Bad: v"s, " X-Bad: v"s, "\tX-Bad: v"s, "X-Bad : v"s, "X-Bad\t: v"s, ": v"s, "X-Bad"s,
        "X\x01-Bad: v"s, "\x01X-Bad: v"s, "X\0-Bad: v"s, "X\x7f-Bad: v"s, "X\x80-Bad: v"s,
        "X(Bad): v"s, "X\"Bad: v"s, "X-Bad: a\0b"s, "X-Bad: a\x01"s, "X-Bad: a\x1f b"s,
        "X-Bad: a\x7f"s, "X-Bad: a\rb"s}) {
    answers.push_back({"head line '" + line + "'", SoundAnswerWith(line + "\r\n")});
  }
  return answers;
}

/// Answers whose fields do not tell where the body ends, or hide its content in a coding.
inline std::vector<SampleAnswer> AnswersWithBrokenFraming() {
  const std::string body = "id: 1\ndata: answer\n\n";
  const std::string chunked = "14\r\n" + body + "\r\n0\r\n\r\n";
  const std::string chunked_field = "Transfer-Encoding: chunked\r\n";
  std::vector<SampleAnswer> answers{
      {"two lengths", AnswerFramedBy("Content-Length: 20\r\nContent-Length: 5\r\n", body)},
      {"length and chunks", AnswerFramedBy("Content-Length: 20\r\n" + chunked_field, chunked)},
      {"chunks and length", AnswerFramedBy(chunked_field + "Content-Length: 20\r\n", chunked)},
      {"chunked twice", AnswerFramedBy(chunked_field + chunked_field, chunked)},
      {"chunks in HTTP/1.0", AnswerFramedBy(chunked_field, chunked, "HTTP/1.0")},
      {"chunk size that is no number",
       AnswerFramedBy(chunked_field, "zz\r\n" + body + "\r\n0\r\n\r\n")},
      {"chunk size beyond 64 bits",
       AnswerFramedBy(chunked_field, "fffffffffffffffff\r\n" + body + "\r\n0\r\n\r\n")},
      {"chunk longer than its size",
       AnswerFramedBy(chunked_field, "10\r\n" + body + "\r\n0\r\n\r\n")},
      {"trailer line 'X Bad: v'",
       AnswerFramedBy(chunked_field, "14\r\n" + body + "\r\n0\r\nX Bad: v\r\n\r\n")},
      {"trailer line with a control byte",
       AnswerFramedBy(chunked_field, "14\r\n" + body + "\r\n0\r\nX-Bad: a\x01\r\n\r\n")}};
  for (const char* coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "xchunked"}) {
    const std::string field = std::string("Transfer-Encoding: ") + coding + "\r\n";
    answers.push_back({"coding '" + std::string(coding) + "'", AnswerFramedBy(field, chunked)});
  }
  for (const char* length : {"20x", "-1", "+20", "0x14", "20 20", "99999999999999999999", ""}) {
    const std::string field = std::string("Content-Length: ") + length + "\r\n";
    answers.push_back({"length '" + std::string(length) + "'", AnswerFramedBy(field, body)});
  }
  return answers;
}

/// Sound answers of which a reader might refuse some.
inline std::vector<SampleAnswer> SoundAnswers() {
  const std::string body = "id: 1\ndata: answer\n\n";
  return {{"length", SoundAnswer()},
          {"chunks", AnswerFramedBy("Transfer-Encoding: Chunked\r\n",
                                    "14;x=\"y\"\r\n" + body + "\r\n0\r\nX-Trailer: v\r\n\r\n")},
          {"end of the connection", AnswerFramedBy("", body)},
          {"HTTP/1.0", AnswerFramedBy("", body, "HTTP/1.0")},
          {"folded line", SoundAnswerWith("X-Folded: a\r\n b\r\n")},
          {"empty value", SoundAnswerWith("X-Empty:\r\n")},
          {"bytes over 127 in a value", SoundAnswerWith("X-Text: \xc3\xa9\t\xff\r\n")},
          {"interim answers",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
           "Link: </a>\r\n\r\nHTTP/1.1 199 X\r\n\r\n" +
               SoundAnswer()}};
}

}  // namespace bamboodock
