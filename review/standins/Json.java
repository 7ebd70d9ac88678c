import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON parser for the bodies of calls to the store. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return object();
        if (c == '[') return array();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        return (long) Double.parseDouble(word);
    }

    private Map<String, Object> object() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            String key = string();
            space();
            at++;
            map.put(key, value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return map;
    }

    private List<Object> array() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        while (text.charAt(at) != ']') {
            list.add(value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                switch (c) {
                    case 'n' -> c = '\n';
                    case 't' -> c = '\t';
                    case 'r' -> c = '\r';
                    case 'u' -> {
                        c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                    }
                    default -> { }
                }
            }
            out.append(c);
        }
        at++;
        return out.toString();
    }

    static String quote(String s) {
        return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}
